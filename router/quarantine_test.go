package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/settings"
)

// crashFleet is a stand-in of the users' platform, of which each upstream that ends is
// followed by another one, and some daemons on it.
type crashFleet struct {
	t       *testing.T
	site    *site.Site
	lives   atomic.Int64
	daemons []*Attached
	stops   []func()
	hc      *http.Client
	// change edits the settings of daemons; it may be nil.
	change func(*settings.Attached)
}

const crashUpstreams = 6 // two of each kind

func newCrashFleet(t *testing.T) *crashFleet {
	t.Helper()
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &crashFleet{t: t, site: s, hc: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	s.Configure(1)
	for i, role := range []string{"prefill", "prefill", "decode", "decode", "", ""} {
		n := events
		if role == "" {
			n = 0
		}
		if _, err := s.Add(fmt.Sprint("u", i), "dc1", role, n, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// replace starts an upstream for one that ended.
func (f *crashFleet) replace(u *site.Upstream) {
	if _, err := f.site.AddAnother(u, fmt.Sprint("life", f.lives.Add(1))); err != nil {
		f.t.Error(err)
	}
}

// start starts daemons until there are n.
func (f *crashFleet) start(n int) {
	f.t.Helper()
	for len(f.daemons) < n {
		cfg := settings.AttachedDefaults()
		cfg.Instance.Name, cfg.Instance.DataCentre = fmt.Sprint("daemon", len(f.daemons)), "dc1"
		cfg.Callers.Listen, cfg.Ready.Listen, cfg.Relay.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		cfg.Store.Address, cfg.Store.Retry = f.site.StoreAddress(), 5*time.Millisecond
		cfg.Limits.MemoryMB = 1024
		cfg.Drain.Notice, cfg.Drain.Grace = time.Millisecond, 20*time.Second
		cfg.Retries.Slack, cfg.Retries.Daemons, cfg.Retries.Window = 1000, 1, retry.TickEvery
		cfg.Orders.Quiet = time.Hour
		if f.change != nil {
			f.change(cfg)
		}
		d, err := NewAttached(cfg, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		if err != nil {
			f.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		stop := func() {
			cancel()
			<-done
		}
		f.daemons, f.stops = append(f.daemons, d), append(f.stops, stop)
	}
	f.settle()
}

func (f *crashFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.daemons, f.stops = nil, nil
}

// settle waits until each daemon knows the upstreams that there are.
func (f *crashFleet) settle() {
	f.t.Helper()
	waittest.Until(f.t, "daemons know the upstreams", func() bool {
		for _, d := range f.daemons {
			v := d.watcher.View()
			if v == nil || v.Config == nil || len(v.Members) != crashUpstreams {
				return false
			}
			for _, m := range v.Members {
				if !f.site.Lives(m.Name) {
					return false
				}
			}
		}
		return true
	})
}

// ask sends a request with a body to one daemon, under an id of its own.
func (f *crashFleet) ask(daemon int, path, body, id string) reply {
	url := "http://" + f.daemons[daemon].CallersAddress().String() + path
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	req.ContentLength, req.Host = int64(len(body)), site.Host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "20000")
	req.Header.Set("Token-Count", "100,50")
	resp, err := f.hc.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(raw), resp.Close, err}
}

// crashRetries is how often a request may still reach upstreams after three have ended
// under it.
const crashRetries = 3

// Symptom: replica after replica ends, each with all that ran on it; a service of nine is
// gone within seconds, and again when its replicas are back.
// Sequence: a request ends each replica that runs it. Its caller repeats it, with the same
// path and body and a new id, at another daemon each time; then all daemons are started
// anew, and the caller goes on.
// Cause: what a daemon learned of a request ended with the attempt, with the daemon, and at
// the daemon: each repeat, and each daemon, began with a clean slate.
func TestRequestThatEndsUpstreams(t *testing.T) {
	for _, path := range []string{site.PathOnce, site.PathDraft, site.PathOrder, site.PathLookUp} {
		f := newCrashFleet(t)
		body := "fatal at " + path
		f.site.SetFatal(body, f.replace)
		const daemons, asks = 3, 12
		for life := range 2 {
			f.start(daemons)
			for i := range asks {
				id := fmt.Sprintf("%d-%d", life, i)
				before := len(f.site.Account.Reaches(body))
				got := f.ask(i%daemons, path, body, id)
				last := i >= asks-daemons
				if reached := len(f.site.Account.Reaches(body)) - before; last && reached > 0 {
					t.Errorf("%s: repeat %s still reaches upstreams", path, id)
				}
				if last && (got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" || !strings.HasPrefix(got.body, "crashes-upstreams")) {
					t.Errorf("%s: the caller was told %d %v %q", path, got.status, got.header, got.body)
				}
				f.settle()
			}
			f.stop()
		}
		ends := f.site.Account.Ends(body)
		if len(ends) > 3+crashRetries {
			t.Errorf("%s: %d upstreams ended under one request", path, len(ends))
		}
		f.start(1)
		for _, path := range []string{site.PathOnce, site.PathDraft, site.PathOrder, site.PathLookUp} {
			if got := f.ask(0, path, "another body", "innocent"+path[1:len(path)-1]); got.err != nil || got.status != http.StatusOK {
				t.Errorf("another request at %s: %+v", path, got)
			}
		}
		f.stop()
	}
}
