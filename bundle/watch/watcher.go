package watch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/supervise"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// tickEvery is the core's step.
	tickEvery = 250 * time.Millisecond
	// maxRead bounds the records of one read, so that even the largest fit the
	// client's bound of an answer.
	maxRead = 8
	// callSlack is added to the wait of a read before it is given up.
	callSlack = 5 * time.Second
	// fetchTimeout bounds one call to a peer.
	fetchTimeout = 3 * time.Second
	// appendTimeout bounds one append of a checkpoint.
	appendTimeout = 10 * time.Second
	// backoffMin and backoffMax bound the pause after a failed read.
	backoffMin = 100 * time.Millisecond
	backoffMax = 3 * time.Second
	// serveRate and serveBurst bound what peers get, in bytes a second and bytes.
	serveRate  = 4 << 20
	serveBurst = 2 * bundle.MaxServe
	// inboxSize bounds the notices that wait; more are dropped, as the
	// next heartbeat repeats them.
	inboxSize = 256
)

// Watcher keeps the version in force up to date.
type Watcher struct {
	opts Options
	core *core // owned by Run's goroutine

	current  atomic.Pointer[bundle.Version]
	view     atomic.Pointer[bundle.View]
	ready    atomic.Bool
	lastTick atomic.Int64 // in nanoseconds since the epoch

	inbox       chan notice
	subscribers []func(*bundle.Version)
	serve       *rate.Limiter
	metrics     *metrics
}

var _ supervise.Service = (*Watcher)(nil)

// notice is what a heartbeat tells of a peer's version.
type notice struct {
	from   wire.NodeID
	number uint64
	digest []byte
}

// readDone is the outcome of one read of the log. next gets the offset to read from then.
type readDone struct {
	began time.Time
	from  uint64
	reply infraapi.ReadReply
	err   error
	next  chan<- uint64
}

// fetchDone is the outcome of one call to a peer.
type fetchDone struct {
	began time.Time
	job   fetchJob
	reply wire.BundleRecords
	err   error
}

// New returns a watcher. An error names the option that is missing.
func New(opts Options) (*Watcher, error) {
	if err := opts.provision(); err != nil {
		return nil, err
	}
	m, err := newMetrics(opts.Meter)
	if err != nil {
		return nil, err
	}
	w := &Watcher{
		opts:    opts,
		core:    newCore(opts.Clock(), opts.Trust, opts.CheckpointEvery, opts.Rand),
		inbox:   make(chan notice, inboxSize),
		serve:   rate.NewLimiter(serveRate, serveBurst),
		metrics: m,
	}
	w.view.Store(w.core.chain.View())
	return w, nil
}

// Name implements supervise.Service.
func (w *Watcher) Name() string { return "bundle-watch" }

// Current returns the version in force, or nil before the first. It is safe for concurrent use.
func (w *Watcher) Current() *bundle.Version { return w.current.Load() }

// Subscribe registers a function that is called with each new version, in
// growing order and from one goroutine. Versions that arrive together are
// told as the last of them. Call it before Run; the function must not block.
func (w *Watcher) Subscribe(f func(*bundle.Version)) { w.subscribers = append(w.subscribers, f) }

// Ready reports whether the version in force is the highest that the log or
// the peers can show. It is false from the moment a frozen process goes on,
// until the log or a peer was asked again. It is safe for concurrent use.
func (w *Watcher) Ready() bool {
	age := w.opts.Clock().UnixNano() - w.lastTick.Load()
	return w.ready.Load() && age <= int64(frozenAfter)
}

// Notice takes a peer's version from its heartbeat. It never blocks and is
// safe for concurrent use.
func (w *Watcher) Notice(from wire.NodeID, number uint64, digest []byte) {
	select {
	case w.inbox <- notice{from: from, number: number, digest: digest}:
	default:
	}
}

// ServeGet answers a peer. What it serves is bounded per second; over the
// bound the answer says Busy. It is safe for concurrent use.
func (w *Watcher) ServeGet(get wire.BundleGet) wire.BundleRecords {
	v := w.view.Load()
	reply := wire.BundleRecords{Number: v.Number, Digest: v.Digest[:], CaughtUp: v.CaughtUp, Through: v.Through}
	records := v.RecordsAfter(get.After)
	size := 0
	for _, r := range records {
		size += len(r)
	}
	if !w.serve.AllowN(w.opts.Clock(), size) {
		return wire.BundleRecords{Busy: true}
	}
	reply.Records = records
	return reply
}

// Run implements supervise.Service. After a panic it goes on with the chain as it is.
func (w *Watcher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reads := make(chan readDone)
	fetches := make(chan fetchJob, 1)
	fetched := make(chan fetchDone)
	appends := make(chan []byte, 1)
	jitter := rand.New(rand.NewPCG(w.opts.Rand.Uint64(), w.opts.Rand.Uint64()))
	from := w.core.chain.Next()

	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { w.readLoop(ctx, from, jitter, reads) })
	wg.Go(func() { w.fetchLoop(ctx, fetches, fetched) })
	wg.Go(func() { w.appendLoop(ctx, appends) })
	w.own(ctx, reads, fetched, outbox{fetches: fetches, appends: appends})
	return nil
}

// outbox carries the core's actions to the loops that do them.
type outbox struct {
	fetches chan<- fetchJob
	appends chan<- []byte
}

// own feeds events to the core until ctx ends. Only this goroutine touches it.
func (w *Watcher) own(ctx context.Context, reads <-chan readDone, fetched <-chan fetchDone, out outbox) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	w.core.peers.busy = false
	for {
		var act actions
		select {
		case <-ctx.Done():
			return
		case d := <-reads:
			act = w.core.logRead(w.opts.Clock(), d.began, d.from, d.reply, d.err)
			d.next <- w.core.chain.Next()
		case d := <-fetched:
			act = w.core.fetched(w.opts.Clock(), d.began, d.job, d.reply, d.err)
		case n := <-w.inbox:
			if w.core.notice(w.opts.Clock(), n.from, n.number, n.digest) {
				w.reportConflict(n)
			}
			continue
		case <-ticker.C:
			act = w.tick()
		}
		w.report(act)
		w.publish()
		out.send(act)
	}
}

// tick moves the core to now.
//
// What goes wrong in the other order: a tick that is shown before what it found makes
// a thawed process look ready until its actions are done, a log line among them. One
// would notice new work on an upstream that left during the freeze.
func (w *Watcher) tick() actions {
	now := w.opts.Clock()
	act := w.core.tick(now)
	w.ready.Store(w.core.readyNow())
	w.lastTick.Store(now.UnixNano())
	return act
}

// send hands over the actions. A loop that is still busy has its one slot
// taken only when the core asked twice, which it does not.
func (o outbox) send(act actions) {
	if act.fetch != nil {
		o.fetches <- *act.fetch
	}
	if act.checkpoint != nil {
		select {
		case o.appends <- act.checkpoint:
		default:
		}
	}
}

// publish swaps in the core's state and tells subscribers of a new version.
func (w *Watcher) publish() {
	w.view.Store(w.core.chain.View())
	v := w.core.chain.InForce()
	if v != nil && v != w.current.Load() {
		w.current.Store(v)
		w.metrics.adopted(v.Number)
		w.opts.Logger.WithField("number", v.Number).WithField("digest", bundle.FormatDigest(v.Digest)).Info("bundle in force")
		for _, f := range w.subscribers {
			f(v)
		}
	}
	w.ready.Store(w.core.readyNow())
}
