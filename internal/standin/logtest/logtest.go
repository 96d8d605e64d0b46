// Package logtest serves the log stand-in to tests in their own process.
package logtest

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
)

// Service is a log that a test steers, behind its address and its client.
type Service struct {
	*logsvc.Log
	URL    string
	Client *infra.LogClient
}

// Start serves a log until the test ends.
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
