package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// readHeaderTimeout is the time within which a client must send its headers.
const readHeaderTimeout = 10 * time.Second

// readyAddresses is printed as a line of JSON once both listeners are open.
type readyAddresses struct {
	Listen  string `json:"listen"`
	Control string `json:"control"`
}

// serve runs s on its two listeners until ctx is cancelled.
func serve(ctx context.Context, addr addresses, s standIn) error {
	defer s.Close()
	apiListener, err := net.Listen("tcp", addr.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer apiListener.Close()
	controlListener, err := listenLoopback(addr.Control)
	if err != nil {
		return errors.Wrap(err, "listen for the control API")
	}
	defer controlListener.Close()
	servers := []*http.Server{newServer(s.Handler()), newServer(s.Control())}
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, l := range []net.Listener{apiListener, controlListener} {
		wg.Go(func() { _ = servers[i].Serve(l) })
	}
	readyLine := readyAddresses{Listen: apiListener.Addr().String(), Control: controlListener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(readyLine); err != nil {
		return errors.Wrap(err, "print the ready line")
	}
	<-ctx.Done()
	for _, srv := range servers {
		_ = srv.Close()
	}
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

// listenLoopback listens on a loopback address and rejects others, because every client that
// reaches the control API can inject faults.
func listenLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.Errorf("%s is not a loopback address", address)
	}
	l, err := net.Listen("tcp", address)
	return l, errors.WithStack(err)
}
