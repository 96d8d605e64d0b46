package watch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bound is far above what any wait in these tests takes.
const bound = 30 * time.Second

// fleet is a log and watchers that can ask each other.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	log      *logsvc.Log
	url      string
	hc       *http.Client
	wg       conc.WaitGroup
	mu       sync.Mutex
	watchers map[wire.NodeID]*Watcher
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, log: logsvc.New(logsvc.Config{}), watchers: map[wire.NodeID]*Watcher{}}
	srv := httptest.NewServer(f.log.Handler())
	f.url = srv.URL
	f.hc = &http.Client{Transport: &http.Transport{}, Timeout: bound}
	t.Cleanup(func() {
		cancel()
		f.log.Close()
		f.wg.Wait()
		f.hc.CloseIdleConnections()
		srv.Close()
	})
	return f
}

func (f *fleet) fetch(_ context.Context, from wire.NodeID, get wire.BundleGet) (wire.BundleRecords, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers[from].ServeGet(get), nil
}

// start runs a watcher on the log at a URL and returns it with the numbers its subscriber hears.
func (f *fleet) start(name, url string) (*Watcher, func() []uint64) {
	f.t.Helper()
	w := must(New(Options{
		Log: infra.NewLog(url, f.hc), Trust: trusted, Fetch: f.fetch, Rand: rand.New(rand.NewPCG(1, 2)),
		PollWait: 100 * time.Millisecond, Logger: &log.Logger{Handler: discard.New()},
	}))
	var mu sync.Mutex
	var heard []uint64
	w.Subscribe(func(v *bundle.Version) {
		mu.Lock()
		defer mu.Unlock()
		heard = append(heard, v.Number)
	})
	f.mu.Lock()
	f.watchers[wire.NodeID{Instance: name}] = w
	f.mu.Unlock()
	f.wg.Go(func() { _ = w.Run(f.ctx) })
	return w, func() []uint64 {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(heard)
	}
}

// heartbeats tells every watcher what the others have, as peers would.
func (f *fleet) heartbeats() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.watchers {
		for _, other := range f.watchers {
			if v := w.Current(); v != nil && other != w {
				other.Notice(id, v.Number, v.Digest[:])
			}
		}
	}
}

// until waits for a condition while heartbeats go on.
func (f *fleet) until(what string, cond func() bool) {
	f.t.Helper()
	deadline := time.After(bound)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
			f.heartbeats()
		case <-deadline:
			f.t.Fatalf("not within %s: %s", bound, what)
		}
	}
}

func inForce(w *Watcher, number uint64) bool {
	v := w.Current()
	return v != nil && v.Number == number && w.Ready()
}

func TestWatchersAgree(t *testing.T) {
	f := newFleet(t)
	records := chainOf(4)
	f.log.Append(DefaultStream, records[0], []byte("rubbish"))
	a, heard := f.start("a", f.url)
	f.until("version 1 on a", func() bool { return inForce(a, 1) })

	// b never reaches the log: its data centre is cut off from the platform.
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	b, _ := f.start("b", dead.URL)
	f.until("version 1 on b from a", func() bool { return inForce(b, 1) })
	f.log.Append(DefaultStream, records[1], records[2])
	f.until("version 3 on both", func() bool { return inForce(a, 3) && inForce(b, 3) })

	// The log goes down, retention drops all, and a daemon starts without a base.
	f.log.SetFaults(logsvc.Faults{Down: true}, 3)
	f.log.Trim(DefaultStream, 0)
	c, _ := f.start("c", f.url)
	f.until("version 3 on c", func() bool { return inForce(c, 3) })
	f.log.Append(DefaultStream, records[3])
	f.until("version 4 everywhere", func() bool { return inForce(a, 4) && inForce(b, 4) && inForce(c, 4) })

	numbers := heard()
	if !slices.IsSorted(numbers) || numbers[len(numbers)-1] != 4 {
		t.Errorf("a's subscriber heard %v", numbers)
	}
	if a.Current().Digest != c.Current().Digest {
		t.Error("a and c disagree")
	}
}

func TestServeIsBounded(t *testing.T) {
	now := start
	w := must(New(Options{Log: infra.NewLog("http://127.0.0.1:1", nil), Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), Clock: func() time.Time { return now }}))
	for _, raw := range chainOf(1) {
		if _, err := w.core.chain.Offer(raw); err != nil {
			t.Fatal(err)
		}
	}
	w.publish()
	served := 0
	for !w.ServeGet(wire.BundleGet{}).Busy {
		served += len(w.ServeGet(wire.BundleGet{}).Records)
	}
	if served == 0 || w.ServeGet(wire.BundleGet{After: 1}).Number != 1 {
		t.Errorf("served %d records; an answer without records must not be refused", served)
	}
	now = now.Add(time.Second)
	if w.ServeGet(wire.BundleGet{}).Busy {
		t.Error("still busy a second later")
	}
}

// Symptom: a thawed daemon answers Ready before its first tick.
// Sequence: the clock jumps while no tick ran.
// Cause: Ready is read by other goroutines, which may run first after a thaw.
func TestReadyNeedsATick(t *testing.T) {
	now := start
	w := must(New(Options{Log: infra.NewLog("http://127.0.0.1:1", nil), Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), Clock: func() time.Time { return now }}))
	w.ready.Store(true)
	w.lastTick.Store(now.UnixNano())
	if !w.Ready() {
		t.Error("not ready right after a tick")
	}
	if now = now.Add(frozenAfter + time.Millisecond); w.Ready() {
		t.Error("ready although nothing ran for longer than a freeze")
	}
}

// Symptom: a thawed daemon reserves on an upstream that left during the freeze.
// Sequence: the process thaws and its first tick runs; a request is decided before the
// watcher has logged the freeze and published what it found.
// Cause: the tick was shown before the loss of readiness.
func TestFirstTickAfterAFreezeIsNotReady(t *testing.T) {
	now := start
	w := must(New(Options{Log: infra.NewLog("http://127.0.0.1:1", nil), Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), Clock: func() time.Time { return now }}))
	for _, raw := range chainOf(1) {
		if _, err := w.core.chain.Offer(raw); err != nil {
			t.Fatal(err)
		}
	}
	w.core.ready.confirmed = true
	w.tick()
	w.publish()
	if !w.Ready() {
		t.Fatal("not ready at first")
	}
	now = now.Add(frozenAfter + time.Second)
	w.tick()
	if w.Ready() {
		t.Error("ready between the tick that found the freeze and what follows it")
	}
}
