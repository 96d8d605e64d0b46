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

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// ready is the line that tells the addresses.
type ready struct {
	Listen  string `json:"listen"`
	Control string `json:"control"`
}

// serve runs s on its two listeners until ctx ends.
func serve(ctx context.Context, addr addresses, s standIn) error {
	defer s.Close()
	main, err := net.Listen("tcp", addr.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer main.Close()
	control, err := listenLoopback(addr.Control)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	defer control.Close()
	servers := []*http.Server{newServer(s.Handler()), newServer(s.Control())}
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, l := range []net.Listener{main, control} {
		wg.Go(func() { _ = servers[i].Serve(l) })
	}
	line := ready{Listen: main.Addr().String(), Control: control.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return errors.Wrap(err, "ready line")
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

// listenLoopback listens on an address that must be loopback: whoever reaches
// the control API can break the stand-in.
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
