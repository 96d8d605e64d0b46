// Package engine simulates a model engine for tests and trials. The simulated
// engine uses continuous batching, caches prompt prefixes in limited memory,
// serves prompts by priority, can pause, resume and cancel streams, transfers KV
// caches over a link of limited rate, and publishes its load and its cache events
// with a delay. The generated tokens come from package answer. The constants and
// the reasons for them are in constants.go.
//
// A decode does not stop when its connection closes. Its stream can be read
// again from any index, and its KV memory stays in use, until the decode is
// cancelled or Config.Linger has passed since it finished.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/internal/standin/fault"
	"github.com/corianderturn/corianderturn/internal/standin/rest"
)

// Engine serves the HTTP interface of package engineapi and advances its core at
// the core's deadlines. It is safe for concurrent use. Close stops it.
type Engine struct {
	// OnFatal, if not nil, is called when a decode engine begins to answer a prompt with
	// Config.CrashText. It is set before the engine serves.
	OnFatal func()

	cfg    Config
	faults *fault.Injector[Faults]
	rests  rest.Log
	client *http.Client
	link   *rate.Limiter
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	wg     conc.WaitGroup

	mu   sync.Mutex
	rng  *rand.Rand
	core *core
}

// New starts an engine. It returns an error if a setting is out of range.
func New(cfg Config) (*Engine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	bytesPerSecond := cfg.LinkRate * cfg.TimeScale
	e := &Engine{
		cfg:    cfg,
		faults: fault.NewInjector[Faults](),
		client: &http.Client{Transport: &http.Transport{}},
		link:   rate.NewLimiter(rate.Limit(bytesPerSecond), max(1, int(bytesPerSecond*linkSliceSeconds))),
		wake:   make(chan struct{}, 1),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.core = e.newCore()
	e.wg.Go(e.runTimers)
	return e, nil
}

// newCore returns an empty core. Its incarnation does not come from the seeded
// source, because an engine that restarts with the same seed must have a new
// incarnation.
func (e *Engine) newCore() *core {
	return newCore(time.Now(), &e.cfg, e.rng, rand.Uint64())
}

// Close stops the engine, aborts the calls in progress and waits for the engine's
// goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.wg.Wait()
	e.client.CloseIdleConnections()
}

// spawn runs f in a goroutine that Close waits for. It does nothing if the engine
// is closed.
func (e *Engine) spawn(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		e.wg.Go(f)
	}
}

// Crash simulates a crash and restart of the process: it drops all state but the
// faults, aborts all calls in progress and begins a new incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.core.crashed)
	for _, d := range e.core.decodes {
		if d.cancelImport != nil {
			d.cancelImport()
		}
	}
	e.core = e.newCore()
	e.core.faults = e.faults.Get()
}

// withCore advances the core to the current time, runs f on it with the mutex
// held, and wakes runTimers, because f may have changed the next deadline.
func (e *Engine) withCore(f func(now time.Time, c *core)) {
	e.mu.Lock()
	now := time.Now()
	e.core.advance(now)
	f(now, e.core)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runTimers advances the core at each of its deadlines until Close.
func (e *Engine) runTimers() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
		e.mu.Lock()
		now := time.Now()
		e.core.advance(now)
		timer.Reset(e.core.nextDeadline().Sub(now))
		e.mu.Unlock()
	}
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	var out Stats
	e.withCore(func(_ time.Time, c *core) {
		out = c.stats
		out.Incarnation = c.incarnation
		out.Held = len(c.prefills) + len(c.decodes)
		out.HeldBytes = c.usedBytes()
		out.SlotsUsed = c.slotsUsed()
		out.CallsInRest = e.rests.Most()
	})
	return out
}

// SetFaults replaces the faults. They are cleared after they have affected the
// given number of calls; 0 means that they stay.
func (e *Engine) SetFaults(f Faults, times int) {
	e.faults.Set(f, times)
	e.faultsChanged()
}

// faultsChanged copies the current faults to the core.
func (e *Engine) faultsChanged() {
	e.withCore(func(_ time.Time, c *core) { c.faults = e.faults.Get() })
}

// Control returns the fault control API: the paths of package fault and
// POST /crash.
func (e *Engine) Control() http.Handler {
	rt := fault.Router(e.faults, fault.Hooks{
		Stats:   func() any { return e.Stats() },
		Reset:   func() { e.withCore(func(_ time.Time, c *core) { c.stats = Stats{} }) },
		Changed: e.faultsChanged,
	})
	rt.HandlerFunc(http.MethodPost, "/crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	return rt
}
