// Package engine is a stand-in for a model engine, for tests and trials. It
// batches continuously, caches prompt prefixes in limited memory, honours
// priorities, pauses, resumes and cancels streams, moves KV caches over a link
// of limited rate, and reports its load and its cache late. Its answers are
// those of package answer. Its constants and their sources are in constants.go.
//
// A decode does not stop when its connection closes: its stream can be read
// again from any index, and its memory counts as held, until it is cancelled or
// Linger has passed since its end.
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
)

// Engine runs a core: it serves the engine interface and wakes the core when
// something is due. It is safe for concurrent use. Close ends it.
type Engine struct {
	cfg    Config
	faults *fault.Box[Faults]
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

// New starts an engine. It fails when the configuration is out of range.
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
		faults: fault.NewBox[Faults](),
		client: &http.Client{Transport: &http.Transport{}},
		link:   rate.NewLimiter(rate.Limit(bytesPerSecond), max(1, int(bytesPerSecond*linkSlice))),
		wake:   make(chan struct{}, 1),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.core = e.newCore()
	e.wg.Go(e.run)
	return e, nil
}

// newCore returns an empty core. Its incarnation does not come from the seeded
// source: an engine that is started again with its old seed is another one.
func (e *Engine) newCore() *core {
	return newCore(time.Now(), &e.cfg, e.rng, rand.Uint64())
}

// Close ends the engine, cuts the calls in progress and waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.wg.Wait()
	e.client.CloseIdleConnections()
}

// spawn runs f in a goroutine that Close waits for; a closed engine runs nothing.
func (e *Engine) spawn(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		e.wg.Go(f)
	}
}

// Crash drops everything the engine holds and cuts every call, as a restarted
// process would; a new incarnation begins.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.core.gone)
	for _, d := range e.core.decodes {
		if d.abort != nil {
			d.abort()
		}
	}
	e.core = e.newCore()
	e.core.faults = e.faults.Get()
}

// do brings the core up to date, runs f on it and wakes the timer loop.
func (e *Engine) do(f func(now time.Time, c *core)) {
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

// run advances the core at each of its deadlines until the engine is closed.
func (e *Engine) run() {
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
		timer.Reset(e.core.deadline().Sub(now))
		e.mu.Unlock()
	}
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	var out Stats
	e.do(func(_ time.Time, c *core) {
		out = c.stats
		out.Incarnation = c.incarnation
		out.Held = len(c.prefills) + len(c.decodes)
		out.HeldBytes = c.usedBytes()
		out.SlotsUsed = c.slotsUsed()
	})
	return out
}

// SetFaults replaces the faults; times limits the calls hit, 0 means no limit.
func (e *Engine) SetFaults(f Faults, times int) {
	e.faults.Set(f, times)
	e.faultsChanged()
}

func (e *Engine) faultsChanged() {
	e.do(func(_ time.Time, c *core) { c.faults = e.faults.Get() })
}

// Control returns the fault control API; beside the common paths it has
// POST /crash.
func (e *Engine) Control() http.Handler {
	rt := fault.Router(e.faults, fault.Hooks{
		Stats:   func() any { return e.Stats() },
		Reset:   func() { e.do(func(_ time.Time, c *core) { c.stats = Stats{} }) },
		Changed: e.faultsChanged,
	})
	rt.HandlerFunc(http.MethodPost, "/crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	return rt
}
