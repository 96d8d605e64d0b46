// Package logtest runs the simulated log of package logsvc inside the process of a
// test.
package logtest

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
)

// Service is a simulated log that a test controls, with its base URL and a client
// for it.
type Service struct {
	*logsvc.Log
	URL    string
	Client *infra.LogClient
}

// Start runs a log on a loopback HTTP server until the test ends.
func Start(t testing.TB, cfg logsvc.Config) *Service {
	t.Helper()
	l := logsvc.New(cfg)
	srv := httptest.NewServer(l.Handler())
	hc := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		l.Close()
		hc.CloseIdleConnections()
		srv.Close()
	})
	return &Service{Log: l, URL: srv.URL, Client: infra.NewLog(srv.URL, hc)}
}
