package loadgen

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Options describe one run.
type Options struct {
	// Daemons are the base URLs that requests go to in turn.
	Daemons  []string
	Workload Workload
	// Name is part of every key and prompt; Seed fixes the requests and their times.
	Name string
	Seed uint64
	// Duration is how long requests arrive; those of the first Warmup are left
	// out of the latencies and the goodput.
	Duration time.Duration
	Warmup   time.Duration
	// MaxRequests bounds the run; 0 means no bound but Duration.
	MaxRequests int
	// MaxInFlight bounds requests at once; an arrival above it is Dropped.
	MaxInFlight int
	// Timeout is the deadline that requests carry and the time after which the
	// caller gives up.
	Timeout time.Duration
	// Replay lets the balancer send a POST again when the connection broke
	// before any of the answer, as many balancers do.
	Replay bool
	// Retry lets the caller of a completion that a killed daemon cut ask once more
	// elsewhere; the second answer counts.
	Retry   bool
	Targets Targets
	// Killed says which daemons the run itself has killed; it may be nil.
	Killed func(target string) bool
	// Client sends the requests; nil means NewClient(MaxInFlight).
	Client *http.Client
	// Executions returns what the services ran of the run's keys; it may be nil.
	Executions func(ctx context.Context) ([]Execution, error)
}

func (o *Options) validate() error {
	switch {
	case len(o.Daemons) == 0:
		return errors.New("no daemon to send to")
	case o.Duration <= 0 || o.Warmup < 0 || o.Warmup >= o.Duration:
		return errors.New("the duration must be positive and longer than the warm-up")
	case o.MaxInFlight <= 0:
		return errors.New("the bound of requests in flight must be positive")
	case o.Timeout <= 0:
		return errors.New("the timeout must be positive")
	}
	return nil
}

// Run sends the load, waits for every request to end, and returns the account.
// It returns early when ctx ends; requests in flight are then cancelled.
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
		o:     o,
		send:  sender{hc: hc, targets: o.Daemons, replay: o.Replay, retry: o.Retry, timeout: o.Timeout, killed: o.Killed, w: o.Workload},
		sum:   newCollector(o.Targets, o.Warmup),
		slots: make(chan struct{}, o.MaxInFlight),
	}
	r.arrivals(ctx, gen)
	r.wg.Wait()
	rep := r.sum.report(o.Duration - o.Warmup)
	rep.Run, rep.Seed, rep.Workload = o.Name, o.Seed, o.Workload
	return rep, r.reconcile(ctx, rep)
}

// runner is one run in progress.
type runner struct {
	o     Options
	send  sender
	sum   *collector
	slots chan struct{}
	wg    conc.WaitGroup
}

func (r *runner) arrivals(ctx context.Context, gen *Generator) {
	start := time.Now()
	for n := 0; r.o.MaxRequests == 0 || n < r.o.MaxRequests; n++ {
		s := gen.Next()
		if s.At > r.o.Duration || !clock.Sleep(ctx, time.Until(start.Add(s.At))) {
			return
		}
		r.start(ctx, s, start.Add(s.At))
		if s.RepeatAfter > 0 {
			r.repeat(ctx, s, start.Add(s.At+s.RepeatAfter))
		}
	}
}

// start sends s in the background, or drops it when the bound is reached.
func (r *runner) start(ctx context.Context, s Spec, scheduled time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.sum.add(Result{Spec: s, Outcome: Dropped})
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.slots }()
		r.sum.add(r.send.send(ctx, s, scheduled))
	})
}

func (r *runner) repeat(ctx context.Context, s Spec, at time.Time) {
	r.wg.Go(func() {
		if clock.Sleep(ctx, time.Until(at)) {
			r.start(ctx, s, at)
		}
	})
}

func (r *runner) reconcile(ctx context.Context, rep *Report) error {
	if r.o.Executions == nil {
		return nil
	}
	ran, err := r.o.Executions(ctx)
	if err != nil {
		return errors.Wrap(err, "services' executions")
	}
	ledger := reconcileLedger(r.sum.calls, ran)
	rep.Ledger = &ledger
	return nil
}
