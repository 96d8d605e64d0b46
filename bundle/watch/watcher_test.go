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

// waitLimit is the timeout of the waits in these tests, far above their usual duration.
const waitLimit = 30 * time.Second

// cluster is a log service and a set of watchers that can fetch from each other.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	log      *logsvc.Log
	url      string
	hc       *http.Client
	wg       conc.WaitGroup
	mu       sync.Mutex
	watchers map[wire.NodeID]*Watcher
}

// newCluster starts a log service without watchers.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &cluster{t: t, ctx: ctx, log: logsvc.New(logsvc.Config{}), watchers: map[wire.NodeID]*Watcher{}}
	srv := httptest.NewServer(f.log.Handler())
	f.url = srv.URL
	f.hc = &http.Client{Transport: &http.Transport{}, Timeout: waitLimit}
	t.Cleanup(func() {
		cancel()
		f.log.Close()
		f.wg.Wait()
		f.hc.CloseIdleConnections()
		srv.Close()
	})
	return f
}

// fetch implements the watchers' Fetch by a direct call.
func (f *cluster) fetch(_ context.Context, from wire.NodeID, get wire.BundleGet) (wire.BundleRecords, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers[from].ServeGet(get), nil
}

// start runs a watcher on the log at a URL. It returns the watcher and a function
// that returns the version numbers passed to a subscriber so far.
func (f *cluster) start(name, url string) (*Watcher, func() []uint64) {
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

// heartbeats announces every watcher's version in force to the others, as peers do.
func (f *cluster) heartbeats() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.watchers {
		for _, other := range f.watchers {
			if v := w.Current(); v != nil && other != w {
				other.QueueHeartbeat(id, v.Number, v.Digest[:])
			}
		}
	}
}

// until waits for a condition and sends heartbeats meanwhile.
func (f *cluster) until(what string, cond func() bool) {
	f.t.Helper()
	deadline := time.After(waitLimit)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
			f.heartbeats()
		case <-deadline:
			f.t.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// inForce reports whether a watcher is ready with the given version in force.
func inForce(w *Watcher, number uint64) bool {
	v := w.Current()
	return v != nil && v.Number == number && w.Ready()
}

func TestWatchersAgree(t *testing.T) {
	f := newCluster(t)
	records := recordChain(4)
	f.log.Append(DefaultStream, records[0], []byte("rubbish"))
	a, heard := f.start("a", f.url)
	f.until("version 1 on a", func() bool { return inForce(a, 1) })

	// The log's address that b uses is unreachable, as for a daemon in a data centre
	// that is cut off from the log.
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	b, _ := f.start("b", dead.URL)
	f.until("version 1 on b from a", func() bool { return inForce(b, 1) })
	f.log.Append(DefaultStream, records[1], records[2])
	f.until("version 3 on both", func() bool { return inForce(a, 3) && inForce(b, 3) })

	// The log is down, retention drops all records, and c starts without a base.
	f.log.SetFaults(logsvc.Faults{Down: true}, 3)
	f.log.Trim(DefaultStream, 0)
	c, _ := f.start("c", f.url)
	f.until("version 3 on c", func() bool { return inForce(c, 3) })
	f.log.Append(DefaultStream, records[3])
	f.until("version 4 everywhere", func() bool { return inForce(a, 4) && inForce(b, 4) && inForce(c, 4) })

	numbers := heard()
	if !slices.IsSorted(numbers) || numbers[len(numbers)-1] != 4 {
		t.Errorf("the subscriber of a got versions %v", numbers)
	}
	if a.Current().Digest != c.Current().Digest {
		t.Error("a and c disagree")
	}
}

func TestServeIsBounded(t *testing.T) {
	now := start
	w := must(New(Options{Log: infra.NewLog("http://127.0.0.1:1", nil), Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), Clock: func() time.Time { return now }}))
	for _, raw := range recordChain(1) {
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
		t.Errorf("served %d records; a request that needs no records must not be refused", served)
	}
	now = now.Add(time.Second)
	if w.ServeGet(wire.BundleGet{}).Busy {
		t.Error("still busy one second later")
	}
}

// After a freeze, other goroutines may call Ready before the first tick runs. Ready
// must then return false, because the last tick is too old.
func TestReadyNeedsATick(t *testing.T) {
	now := start
	w := must(New(Options{Log: infra.NewLog("http://127.0.0.1:1", nil), Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), Clock: func() time.Time { return now }}))
	w.ready.Store(true)
	w.lastTick.Store(now.UnixNano())
	if !w.Ready() {
		t.Error("not ready right after a tick")
	}
	if now = now.Add(freezeThreshold + time.Millisecond); w.Ready() {
		t.Error("ready although the last tick is older than freezeThreshold")
	}
}

// After a freeze, a request may be handled between the first tick and the call of
// publish. Ready must return false there, or the request could be sent to an
// upstream that left during the freeze. So the tick must store the lost readiness
// before it stores its time.
func TestFirstTickAfterAFreezeIsNotReady(t *testing.T) {
	now := start
	w := must(New(Options{Log: infra.NewLog("http://127.0.0.1:1", nil), Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), Clock: func() time.Time { return now }}))
	for _, raw := range recordChain(1) {
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
	now = now.Add(freezeThreshold + time.Second)
	w.tick()
	if w.Ready() {
		t.Error("ready between the tick that detected the freeze and the call of publish")
	}
}
