// Package clock holds the one wait that every runner's loop needs.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends. A
// plain time.Sleep would keep a runner, and so the daemon's shutdown, waiting
// for the rest of its pause.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
