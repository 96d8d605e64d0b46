package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/settings"
	"github.com/corianderturn/corianderturn/upstream"
)

// streamEvents is the number of events in a stream of a fake engine.
const streamEvents = 5

// attachedFleet is a fake of the users' platform with one daemon that runs on it.
type attachedFleet struct {
	t         *testing.T
	site      *site.Site
	upstreams map[string]*site.Upstream
	// connect opens the daemon's connections to upstreams.
	connect upstream.DialFunc
	daemon  *Attached
	client  *http.Client
	stop    context.CancelFunc
	done    <-chan error
}

// newAttachedFleet starts two prefill and two decode engines, two plain services and
// a daemon, and waits until it is ready. change, if not nil, modifies the settings.
func newAttachedFleet(t *testing.T, change func(*settings.Attached)) *attachedFleet {
	t.Helper()
	f := newAttachedSite(t)
	f.start(change)
	return f
}

// newAttachedSite is newAttachedFleet without a daemon.
func newAttachedSite(t *testing.T) *attachedFleet {
	t.Helper()
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &attachedFleet{t: t, site: s, upstreams: map[string]*site.Upstream{}, connect: upstreamTransport().Dialer()}
	s.Configure(1)
	for _, u := range []struct{ name, role string }{
		{"p0", "prefill"}, {"p1", "prefill"}, {"d0", "decode"}, {"d1", "decode"}, {"s0", ""}, {"s1", ""},
	} {
		n := streamEvents
		if u.role == "" {
			n = 0
		}
		if f.upstreams[u.name], err = s.Add(u.name, "dc1", u.role, n, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func (f *attachedFleet) start(change func(*settings.Attached)) {
	f.t.Helper()
	cfg := settings.AttachedDefaults()
	cfg.Instance.Name, cfg.Instance.DataCentre = "daemon", "dc1"
	cfg.Callers.Listen, cfg.Ready.Listen, cfg.Metrics.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Store.Address = f.site.StoreAddress()
	cfg.Store.Retry = 5 * time.Millisecond
	cfg.Limits.MemoryMB = 1024
	cfg.Drain.Notice, cfg.Drain.Grace = time.Millisecond, 20*time.Second
	cfg.Retries.Slack, cfg.Retries.Daemons, cfg.Retries.Window = 1000, 1, retry.TickInterval // a single daemon may retry at once
	cfg.Orders.QuietPeriod = time.Hour                                                       // engines keep their roles
	if change != nil {
		change(cfg)
	}
	d, err := newAttached(cfg, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, f.connect)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- d.Run(ctx)
	}()
	f.daemon, f.stop, f.done = d, cancel, done
	f.client = &http.Client{Transport: &http.Transport{}}
	f.t.Cleanup(func() {
		f.client.CloseIdleConnections()
		cancel()
		<-done
	})
	waittest.Until(f.t, "the daemon is ready", func() bool {
		v := d.watcher.View()
		return f.readyStatus() == http.StatusOK && v != nil && len(v.Bundle.Bundle.Upstreams) == len(f.upstreams) && f.daemon.budgets.Share().Settled
	})
}

func (f *attachedFleet) readyStatus() int {
	resp, err := f.client.Get("http://" + f.daemon.readyListener.Addr().String() + "/corianderturn/readiness")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// reply is the answer to a caller; err is set if the connection broke before the end of the
// answer.
type reply struct {
	status int
	header http.Header
	body   string
	closes bool // the answer closes the connection
	err    error
}

// ask sends one request with the given id. header holds the names and values of additional
// header fields in turn.
func (f *attachedFleet) ask(ctx context.Context, path, id string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemon.CallersAddress().String()+path, strings.NewReader("body of "+id))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = site.Host
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
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), resp.Close, err}
}

func (f *attachedFleet) setFaults(names string, faults site.Faults) {
	for _, name := range strings.Fields(names) {
		f.upstreams[name].SetFaults(faults)
	}
}

// waitNothingHeld waits until the engines hold no reservations and no handles (KV caches of
// finished prefills) and run no requests.
func (f *attachedFleet) waitNothingHeld() {
	f.t.Helper()
	waittest.Until(f.t, "reservations and handles are freed", func() bool {
		for _, u := range f.upstreams {
			holds, handles := u.Held()
			if holds > 0 || handles > 0 || u.Active() > 0 {
				return false
			}
		}
		return true
	})
}

func TestAttachedServesEachRoute(t *testing.T) {
	f := newAttachedFleet(t, nil)
	for _, path := range []string{site.PathDraft, site.PathLetter, site.PathOrder, site.PathLookUp} {
		id := "id" + strings.ReplaceAll(path, "/", "")
		got := f.ask(t.Context(), path+"x", id)
		want := "answer to " + id
		if path == site.PathDraft || path == site.PathLetter {
			want = site.Stream(id, streamEvents)
		}
		if got.err != nil || got.status != http.StatusOK || got.body != want || !strings.HasPrefix(got.header.Get("Server-Seal"), "seal-of-") {
			t.Errorf("%s: %+v", path, got)
		}
		runs := f.site.Account.Executions(id)
		if len(runs) != 1 || runs[0].Body != "body of "+id {
			t.Errorf("%s: runs %+v", path, runs)
		}
	}
	if got := f.ask(t.Context(), "/nowhere/", "n"); got.status != http.StatusNotFound {
		t.Errorf("no route: %+v", got)
	}
	f.waitNothingHeld()
}

func TestAttachedMetrics(t *testing.T) {
	f := newAttachedFleet(t, nil)
	f.ask(t.Context(), site.PathDraft+"x", "counted")
	resp, err := f.client.Get("http://" + f.daemon.metricsListener.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	for _, want := range []string{"corianderturn_first_token_seconds_count", `corianderturn_requests_total{class="stream",outcome="answered"} 1`} {
		if err != nil || !strings.Contains(string(page), want) {
			t.Errorf("%v: the page lacks %s:\n%.1500s", err, want, page)
		}
	}
}

// A caller whose stream broke off repeats the request with the number of the last event that
// it received. The answer must begin with the next event.
func TestAttachedResumesAfterLastEventID(t *testing.T) {
	f := newAttachedFleet(t, nil)
	got := f.ask(t.Context(), site.PathDraft+"x", "r", "Last-Event-Id", "3")
	want := site.Event("r", 4) + site.Event("r", 5)
	if got.err != nil || got.body != want {
		t.Errorf("got %+v, want %q", got, want)
	}
}

// TestAttachedFaults has a row for each fault of an upstream, with the expected answer and
// the largest allowed number of runs of a request.
//
// It guards against faults after which a non-idempotent request runs twice, an answer says
// wrongly whether the request ran, a truncated answer looks complete, or engine memory is
// never freed.
func TestAttachedFaults(t *testing.T) {
	const all = "p0 p1 d0 d1 s0 s1"
	whole := func(r reply, id string, n int) bool {
		return r.err == nil && r.status == http.StatusOK && r.body == site.Stream(id, n)
	}
	for _, tc := range []struct {
		name, path string
		faults     map[string]site.Faults // by the names of upstreams, separated by spaces
		ok         func(r reply, id string) bool
		runs       int // largest allowed number of runs of a request; -1 for no limit
	}{
		{"a draft goes on where its stream was cut", site.PathDraft, map[string]site.Faults{"d0": {Cut: 2}, "d1": {}},
			func(r reply, id string) bool { return whole(r, id, streamEvents) }, 2},
		{"a letter that was cut is visibly broken", site.PathLetter, map[string]site.Faults{"d0 d1": {Cut: 2}},
			func(r reply, _ string) bool { return r.err != nil }, 1},
		{"a letter that may have run is not sent again", site.PathLetter, map[string]site.Faults{"d0 d1": {Reset: true}},
			func(r reply, _ string) bool { return r.err == nil && r.status == http.StatusBadGateway }, 1},
		{"an order that may have run is not sent again", site.PathOrder, map[string]site.Faults{"s0 s1": {Reset: true}},
			func(r reply, _ string) bool { return r.status == http.StatusBadGateway }, 1},
		{"an order that was refused is told so", site.PathOrder, map[string]site.Faults{"s0 s1": {Shed: true}},
			func(r reply, _ string) bool {
				return r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != ""
			}, 0},
		{"an order that one replica refused runs at another", site.PathOrder, map[string]site.Faults{"s0": {Shed: true}},
			func(r reply, id string) bool { return r.body == "answer to "+id }, 1},
		{"a look-up is sent again", site.PathLookUp, map[string]site.Faults{"s0": {Reset: true}},
			func(r reply, id string) bool { return r.body == "answer to "+id }, 2},
		{"a look-up goes round a dark replica", site.PathLookUp, map[string]site.Faults{"s0": {Dark: true}},
			func(r reply, id string) bool { return r.body == "answer to "+id }, 1},
		{"a service's own failure is passed on", site.PathOrder, map[string]site.Faults{"s0 s1": {Status: 500}},
			func(r reply, _ string) bool {
				return r.status == 500 && r.body == "failed" && r.header.Get("Server-Seal") != ""
			}, 1},
		{"a look-up's own failure is passed on though the second try breaks off", site.PathLookUp,
			map[string]site.Faults{"s0": {Status: 500}, "s1": {Reset: true}},
			func(r reply, _ string) bool { return r.status == 500 && r.body == "failed" }, 2},
		{"an engine's own failure is passed on", site.PathLetter, map[string]site.Faults{"d0 d1": {Status: 500}},
			func(r reply, _ string) bool { return r.status == 500 && r.body == "failed" }, 1},
		{"full engines refuse at once", site.PathLetter, map[string]site.Faults{"d0 d1": {Full: true}},
			func(r reply, _ string) bool {
				return r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != ""
			}, 0},
		{"a full engine is passed by", site.PathLetter, map[string]site.Faults{"d0": {Full: true}},
			func(r reply, id string) bool { return whole(r, id, streamEvents) }, 1},
		{"lapsed results end in a refusal", site.PathLetter, map[string]site.Faults{"d0 d1": {LapsedHandles: true}},
			func(r reply, id string) bool {
				return r.status == http.StatusServiceUnavailable || whole(r, id, streamEvents)
			}, 1},
		{"another upstream at the address", site.PathOrder, map[string]site.Faults{"s0": {Misplaced: true}},
			func(r reply, id string) bool { return r.body == "answer to "+id }, 1},
		{"a draft goes round a dark decode engine", site.PathDraft, map[string]site.Faults{"d0": {Dark: true}},
			func(r reply, id string) bool { return whole(r, id, streamEvents) }, 1},
		{"a draft goes round a dark prefill engine", site.PathDraft, map[string]site.Faults{"p0": {Dark: true}},
			func(r reply, id string) bool { return whole(r, id, streamEvents) }, 1},
		{"nobody answers", site.PathLetter, map[string]site.Faults{"d0 d1": {Dark: true}},
			func(r reply, _ string) bool { return r.status == http.StatusServiceUnavailable }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newAttachedFleet(t, func(s *settings.Attached) { s.Policy.Seed = 1 })
			for names, faults := range tc.faults {
				f.setFaults(names, faults)
			}
			for i := range 4 { // upstreams are chosen at random, so only some requests meet the fault
				id := fmt.Sprint("r", i)
				if got := f.ask(t.Context(), tc.path+"x", id); !tc.ok(got, id) {
					t.Errorf("%s: %+v", id, got)
				}
				if runs := f.site.Account.Executions(id); tc.runs >= 0 && len(runs) > tc.runs {
					t.Errorf("%s ran %d times: %+v", id, len(runs), runs)
				}
			}
			f.setFaults(all, site.Faults{})
			f.waitNothingHeld()
		})
	}
}

// Guards against engines that keep generating for callers that have disconnected, because the
// daemon does not close its connection to the engine when the caller disconnects.
func TestAttachedCallerLeaves(t *testing.T) {
	f := newAttachedFleet(t, nil)
	for _, name := range []string{"d0", "d1"} {
		f.upstreams[name].Pause = time.Hour
	}
	ctx, leave := context.WithCancel(t.Context())
	got := make(chan reply, 1)
	go func() { got <- f.ask(ctx, site.PathLetter+"x", "gone") }()
	waittest.Until(t, "the stream runs", func() bool { return f.upstreams["d0"].Active()+f.upstreams["d1"].Active() == 1 })
	leave()
	if r := <-got; r.err == nil {
		t.Errorf("got %+v", r)
	}
	f.waitNothingHeld()
}

// Guards against serving removed routes, rejecting new ones, and refusing callers while the
// store is unreachable. The store fails, loses its history and recovers while the
// configuration changes. The daemon must keep its last view during the outage and read a
// snapshot after it.
func TestAttachedConfigurationFollows(t *testing.T) {
	f := newAttachedFleet(t, nil)
	status := func(path string) int { return f.ask(t.Context(), path, "probe").status }
	f.site.Configure(4, "/new/")
	waittest.Until(t, "the new route", func() bool { return status("/new/x") == http.StatusOK })
	f.site.Configure(2)
	f.site.Configure(6, "/newer/")
	waittest.Until(t, "the newer route", func() bool { return status("/newer/x") == http.StatusOK })
	if got := status("/new/x"); got != http.StatusNotFound {
		t.Errorf("a dropped route answers %d", got)
	}
	f.site.Store.SetDown(true)
	if got := status("/newer/x"); got != http.StatusOK {
		t.Errorf("while the store is down: %d", got)
	}
	f.site.Configure(7, "/last/")
	f.site.Store.DropHistory()
	f.site.Store.SetDown(false)
	waittest.Until(t, "the last route", func() bool { return status("/last/x") == http.StatusOK })
}

func TestAttachedSkipsLeavingUpstreams(t *testing.T) {
	f := newAttachedFleet(t, nil)
	f.site.Register(f.upstreams["s0"], "draining")
	waittest.Until(t, "s0 leaves the view", func() bool { return !f.serving("s0") })
	f.site.Withdraw("d0")
	waittest.Until(t, "d0 leaves the view", func() bool { return !f.serving("d0") })
	for i := range 8 {
		id := fmt.Sprint("r", i)
		f.ask(t.Context(), site.PathOrder+"x", id)
		f.ask(t.Context(), site.PathLetter+"x", id+"s")
		for _, run := range append(f.site.Account.Executions(id), f.site.Account.Executions(id+"s")...) {
			if run.Upstream == "s0" || run.Upstream == "d0" {
				t.Errorf("%s got new work", run.Upstream)
			}
		}
	}
}

// serving reports whether the daemon may send new requests to an upstream.
func (f *attachedFleet) serving(name string) bool {
	s := f.daemon.holder.Snapshot()
	for _, pool := range []string{"app", "llm/decode", "llm/prefill"} {
		for _, r := range s.Pool(pool).Replicas() {
			if r.Name == name {
				return true
			}
		}
	}
	return false
}

// Guards against a shutdown that breaks off requests. A stream runs when the daemon starts to
// drain, and a caller with a kept-alive connection sends another request during the drain. Both
// must be answered before the listener closes and the process ends.
func TestAttachedDrains(t *testing.T) {
	f := newAttachedFleet(t, func(s *settings.Attached) { s.Drain.Notice = 300 * time.Millisecond })
	for _, name := range []string{"d0", "d1"} {
		f.upstreams[name].Pause = 20 * time.Millisecond
	}
	f.ask(t.Context(), site.PathOrder+"x", "first") // opens the connection that is kept alive
	got := make(chan reply, 1)
	go func() { got <- f.ask(t.Context(), site.PathLetter+"x", "running") }()
	waittest.Until(t, "the stream runs", func() bool { return f.upstreams["d0"].Active()+f.upstreams["d1"].Active() == 1 })
	f.stop()
	waittest.Until(t, "not ready", func() bool { return f.readyStatus() == http.StatusServiceUnavailable })
	late := f.ask(t.Context(), site.PathOrder+"x", "late")
	if late.err != nil || late.body != "answer to late" || !late.closes {
		t.Errorf("during the drain: %+v", late)
	}
	if r := <-got; r.err != nil || r.body != site.Stream("running", streamEvents) {
		t.Errorf("the running stream: %+v", r)
	}
	if err := waittest.Receive(t, "the end", f.done); err != nil {
		t.Error(err)
	}
}

func TestAttachedReload(t *testing.T) {
	f := newAttachedFleet(t, nil)
	next := *f.daemon.settings.Load()
	next.Drain.Grace, next.Hedging.Share = 3*time.Second, 0.1
	if f.daemon.hedgeBudgetOf("svc") != nil {
		t.Error("slow calls are hedged by default")
	}
	f.daemon.Reload(&next, nil)
	f.daemon.Reload(nil, errors.New("a bad file"))
	if f.daemon.hedgeBudgetOf("svc") == nil {
		t.Error("slow calls are not hedged with a share of 0.1")
	}
	if got := f.daemon.settings.Load().Drain.Grace; got != 3*time.Second {
		t.Errorf("grace %v", got)
	}
}

// Retries are lent to other daemons only for configured services, and only as many as the
// budget holds.
func TestAttachedLendsRetries(t *testing.T) {
	f := newAttachedFleet(t, nil)
	if f.daemon.lendRetries("unknown", 1) {
		t.Error("lent retries to a service that is not configured")
	}
	if !f.daemon.lendRetries(site.PlainSet, 2) {
		t.Error("lent nothing although the budget holds hundreds")
	}
	if f.daemon.lendRetries(site.PlainSet, 2000) {
		t.Error("lent more than the budget holds")
	}
}

// Guards against streams that are cut during a short silence, because a TCP_USER_TIMEOUT ends the
// keep-alive probes before their number is reached.
func TestUserTimeoutLeavesKeepAliveItsTime(t *testing.T) {
	cfg := upstreamTransport()
	if least := cfg.KeepAlive * time.Duration(cfg.Probes+1); cfg.UserTimeout < least {
		t.Errorf("user timeout %v, the probes take %v", cfg.UserTimeout, least)
	}
}

// Guards against a daemon that takes requests which it cannot answer before it ends, and against one that
// refuses requests at once when it begins to drain.
func TestLateInDrain(t *testing.T) {
	const grace = 9 * time.Second
	for elapsed, want := range map[time.Duration]bool{0: false, 2 * time.Second: false, 4 * time.Second: true, grace: true} {
		if got := lateInDrain(elapsed, grace); got != want {
			t.Errorf("%v after the beginning: %v, want %v", elapsed, got, want)
		}
	}
}
