package loadgen

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Options configure one run.
type Options struct {
	// Daemons are the base URLs of the daemons, to which requests are sent round-robin.
	Daemons  []string
	Workload Workload
	// Name becomes part of every key and prompt. Seed determines the requests and their arrival
	// times.
	Name string
	Seed uint64
	// Duration is the time in which requests arrive. Requests that arrive in the first Warmup of
	// it are excluded from Report.Steady, Classes and Kinds.
	Duration time.Duration
	Warmup   time.Duration
	// MaxRequests bounds the number of requests; 0 means that only Duration bounds the run.
	MaxRequests int
	// MaxInFlight bounds the concurrent requests; an arrival beyond it is Dropped.
	MaxInFlight int
	// Timeout is the deadline that requests state in their header, and the time after which the
	// caller gives up.
	Timeout time.Duration
	// Replay makes the simulated balancer send a request to the next daemon if the connection
	// broke before the response, POSTs included, as many load balancers do.
	Replay bool
	// Retry makes the caller send a completion once more, to another daemon, if its outcome was
	// Severed. The outcome of the second request counts.
	Retry   bool
	Targets Targets
	// IsKilled reports whether the test has killed the daemon with this base URL; nil means that
	// it kills none.
	IsKilled func(target string) bool
	// Client sends the requests; nil means NewClient(MaxInFlight).
	Client *http.Client
	// Executions returns the executions that the services counted for the keys of the run; if
	// nil, Report.Ledger stays nil.
	Executions func(ctx context.Context) ([]Execution, error)
}

func (o *Options) validate() error {
	switch {
	case len(o.Daemons) == 0:
		return errors.New("at least one daemon is needed")
	case o.Duration <= 0 || o.Warmup < 0 || o.Warmup >= o.Duration:
		return errors.New("the duration must be positive and longer than the warm-up")
	case o.MaxInFlight <= 0:
		return errors.New("the maximum number of requests in flight must be positive")
	case o.Timeout <= 0:
		return errors.New("the timeout must be positive")
	}
	return nil
}

// Run sends the load, waits for every request to end, and returns the report. If ctx ends, it
// cancels the requests in flight and returns early.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	gen, err := NewGenerator(o.Workload, o.Name, o.Seed)
	if err != nil {
		return nil, err
	}
	hc := o.Client
	if hc == nil {
		hc = NewClient(o.MaxInFlight)
		defer hc.CloseIdleConnections()
	}
	r := &runner{
		options:   o,
		sender:    sender{hc: hc, targets: o.Daemons, replay: o.Replay, retry: o.Retry, timeout: o.Timeout, killed: o.IsKilled, workload: o.Workload},
		collector: newCollector(o.Targets, o.Warmup),
		slots:     make(chan struct{}, o.MaxInFlight),
	}
	r.dispatch(ctx, gen)
	r.wg.Wait()
	rep := r.collector.report(o.Duration - o.Warmup)
	rep.Run, rep.Seed, rep.Workload = o.Name, o.Seed, o.Workload
	return rep, r.checkLedger(ctx, rep)
}

// runner is the state of a run in progress.
type runner struct {
	options   Options
	sender    sender
	collector *collector
	slots     chan struct{} // one element for each request in flight
	wg        conc.WaitGroup
}

// dispatch starts each request at its scheduled arrival, until the run ends.
func (r *runner) dispatch(ctx context.Context, gen *Generator) {
	start := time.Now()
	for n := 0; r.options.MaxRequests == 0 || n < r.options.MaxRequests; n++ {
		s := gen.Next()
		if s.At > r.options.Duration || !clock.Sleep(ctx, time.Until(start.Add(s.At))) {
			return
		}
		r.startRequest(ctx, s, start.Add(s.At))
		if s.RepeatAfter > 0 {
			r.scheduleRepeat(ctx, s, start.Add(s.At+s.RepeatAfter))
		}
	}
}

// startRequest sends s in a new goroutine, or drops it if MaxInFlight requests are in flight.
func (r *runner) startRequest(ctx context.Context, s Spec, scheduled time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.collector.record(Result{Spec: s, Outcome: Dropped})
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.slots }()
		r.collector.record(r.sender.send(ctx, s, scheduled))
	})
}

// scheduleRepeat sends s a second time, at the given time.
func (r *runner) scheduleRepeat(ctx context.Context, s Spec, at time.Time) {
	r.wg.Go(func() {
		if clock.Sleep(ctx, time.Until(at)) {
			r.startRequest(ctx, s, at)
		}
	})
}

// checkLedger adds the comparison with the services' executions to the report.
func (r *runner) checkLedger(ctx context.Context, rep *Report) error {
	if r.options.Executions == nil {
		return nil
	}
	executions, err := r.options.Executions(ctx)
	if err != nil {
		return errors.Wrap(err, "read executions of services")
	}
	ledger := reconcileLedger(r.collector.submits, executions)
	rep.Ledger = &ledger
	return nil
}
