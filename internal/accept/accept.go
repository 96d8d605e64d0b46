// Package accept accepts connections while the process lacks file descriptors or the kernel lacks memory: that
// passes, and must not end the service that listens.
package accept

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// retryPause is the pause after a failed call of Accept.
const retryPause = 50 * time.Millisecond

// passing are the errors of Accept after which the listener still works.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// Next waits for the next connection of a listener. It returns an error if the listener is closed or broken, or
// ctx ends during a pause.
func Next(ctx context.Context, ln net.Listener) (net.Conn, error) {
	for {
		c, err := ln.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		if !clock.Sleep(ctx, retryPause) {
			return nil, ctx.Err()
		}
	}
}

func passes(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}
