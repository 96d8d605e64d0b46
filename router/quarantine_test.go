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
	"github.com/corianderturn/corianderturn/upstream"
)

// crashFleet is a fake of the users' platform with some daemons that run on it. The platform
// can replace upstreams that crash.
type crashFleet struct {
	t            *testing.T
	site         *site.Site
	replacements atomic.Int64
	daemons      []*Attached
	stopFuncs    []func()
	client       *http.Client
	// edit modifies the settings of each daemon before it starts; it may be nil.
	edit func(*settings.Attached)
	// connect returns what opens the connections of a daemon to upstreams; nil for the default.
	connect func(daemon int) upstream.DialFunc
	// links are those of the daemons, in their order, if connect makes any.
	links []*link
}

const crashUpstreams = 6 // two prefill engines, two decode engines and two plain services

func newCrashFleet(t *testing.T) *crashFleet {
	t.Helper()
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &crashFleet{t: t, site: s, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	s.Configure(1)
	for i, role := range []string{"prefill", "prefill", "decode", "decode", "", ""} {
		n := streamEvents
		if role == "" {
			n = 0
		}
		if _, err := s.Add(fmt.Sprint("u", i), "dc1", role, n, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// replace starts a new upstream in place of one that crashed.
func (f *crashFleet) replace(u *site.Upstream) {
	if _, err := f.site.AddAnother(u, fmt.Sprint("life", f.replacements.Add(1))); err != nil {
		f.t.Error(err)
	}
}

// start starts daemons until n run, and waits until all of them have the current upstreams.
func (f *crashFleet) start(n int) {
	f.t.Helper()
	for len(f.daemons) < n {
		cfg := settings.AttachedDefaults()
		cfg.Instance.Name, cfg.Instance.DataCentre = fmt.Sprint("daemon", len(f.daemons)), "dc1"
		cfg.Callers.Listen, cfg.Ready.Listen, cfg.Relay.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		cfg.Store.Address, cfg.Store.Retry = f.site.StoreAddress(), 5*time.Millisecond
		cfg.Limits.MemoryMB = 1024
		cfg.Drain.Notice, cfg.Drain.Grace = time.Millisecond, 20*time.Second
		cfg.Retries.Slack, cfg.Retries.Daemons, cfg.Retries.Window = 1000, 1, retry.TickInterval
		cfg.Orders.QuietPeriod = time.Hour
		if f.edit != nil {
			f.edit(cfg)
		}
		connect := upstreamTransport().Dialer()
		if f.connect != nil {
			connect = f.connect(len(f.daemons))
		}
		d, err := newAttached(cfg, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, connect)
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
		f.daemons, f.stopFuncs = append(f.daemons, d), append(f.stopFuncs, stop)
	}
	f.waitSettled()
}

func (f *crashFleet) stop() {
	for _, stop := range f.stopFuncs {
		stop()
	}
	f.daemons, f.stopFuncs = nil, nil
}

// waitSettled waits until the view of each daemon contains exactly the running upstreams.
func (f *crashFleet) waitSettled() {
	f.t.Helper()
	waittest.Until(f.t, "the views of all daemons are up to date", func() bool {
		for _, d := range f.daemons {
			v := d.watcher.View()
			if v == nil || v.Config == nil || len(v.Bundle.Bundle.Upstreams) != crashUpstreams {
				return false
			}
			for name := range v.Bundle.Bundle.Upstreams {
				if !f.site.IsRunning(name) {
					return false
				}
			}
		}
		return true
	})
}

// ask sends a request with the given body and id to one daemon. header holds the names and values
// of additional header fields in turn.
func (f *crashFleet) ask(daemon int, path, body, id string, header ...string) reply {
	url := "http://" + f.daemons[daemon].CallersAddress().String() + path
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	req.ContentLength, req.Host = int64(len(body)), site.Host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "20000")
	req.Header.Set("Token-Count", "100,50")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(raw), resp.Close, err}
}

// extraAttempts is the number of times a request may still reach upstreams after it has crashed
// three of them.
const extraAttempts = 3

// Guards against a request that crashes every replica of its service: nine within seconds, and
// their replacements too. The caller repeats the request with the same path and body and a new
// id, at another daemon each time, also after all daemons have restarted. Daemons must recognise
// the request by its content, share the crashes that they see, and remember them over restarts.
func TestRequestThatEndsUpstreams(t *testing.T) {
	for _, path := range []string{site.PathLetter, site.PathDraft, site.PathOrder, site.PathLookUp} {
		f := newCrashFleet(t)
		body := "fatal at " + path
		f.site.CrashOn(body, f.replace)
		const daemons, asks = 3, 12
		for life := range 2 {
			f.start(daemons)
			for i := range asks {
				id := fmt.Sprintf("%d-%d", life, i)
				before := len(f.site.Account.ReachTimes(body))
				got := f.ask(i%daemons, path, body, id)
				last := i >= asks-daemons
				if reached := len(f.site.Account.ReachTimes(body)) - before; last && reached > 0 {
					t.Errorf("%s: repeat %s still reaches upstreams", path, id)
				}
				if last && (got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" || !strings.HasPrefix(got.body, "crashes-upstreams")) {
					t.Errorf("%s: the answer was %d %v %q", path, got.status, got.header, got.body)
				}
				f.waitSettled()
			}
			f.stop()
		}
		ends := f.site.Account.CrashTimes(body)
		if len(ends) > 3+extraAttempts {
			t.Errorf("%s: %d upstreams crashed while running one request", path, len(ends))
		}
		f.start(1)
		for _, path := range []string{site.PathLetter, site.PathDraft, site.PathOrder, site.PathLookUp} {
			if got := f.ask(0, path, "another body", "innocent"+path[1:len(path)-1]); got.err != nil || got.status != http.StatusOK {
				t.Errorf("another request at %s: %+v", path, got)
			}
		}
		f.stop()
	}
}
