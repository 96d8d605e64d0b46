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
	// tickInterval is the time between two ticks of the core.
	tickInterval = 250 * time.Millisecond
	// maxReadRecords is the maximum number of records of one read. This many records
	// of bundle.MaxRecord bytes fit in a response of infra.MaxReply bytes.
	maxReadRecords = 8
	// readTimeoutSlack is added to the long-polling time of a read to give its timeout.
	readTimeoutSlack = 5 * time.Second
	// fetchTimeout is the timeout of one call to a peer.
	fetchTimeout = 3 * time.Second
	// appendTimeout is the timeout of one append of a checkpoint.
	appendTimeout = 10 * time.Second
	// backoffMin and backoffMax are the first and the maximum backoff after failed reads.
	backoffMin = 100 * time.Millisecond
	backoffMax = 3 * time.Second
	// serveRate and serveBurst limit the records served to peers, in bytes per second
	// and in bytes at once.
	serveRate  = 4 << 20
	serveBurst = 2 * bundle.MaxServe
	// heartbeatQueueSize is the maximum number of queued heartbeats. Further ones are
	// dropped, because a peer's next heartbeat repeats its version.
	heartbeatQueueSize = 256
)

// Watcher keeps the bundle version in force up to date. Run drives it; the other
// methods that are safe for concurrent use say so.
type Watcher struct {
	opts Options
	core *core // used only by Run's goroutine once Run was called

	current  atomic.Pointer[bundle.Version]
	view     atomic.Pointer[bundle.View]
	ready    atomic.Bool
	lastTick atomic.Int64 // in nanoseconds since the epoch

	heartbeats   chan heartbeat
	subscribers  []func(*bundle.Version)
	serveLimiter *rate.Limiter
	metrics      *metrics

	// logEpoch is the epoch of the first read, and historyLost whether a later one showed that the log has
	// lost records. Only the reading goroutine uses them.
	logEpoch    *uint64
	historyLost bool
}

var _ supervise.Service = (*Watcher)(nil)

// heartbeat is the part of a peer's heartbeat that announces its version in force.
type heartbeat struct {
	from   wire.NodeID
	number uint64
	digest []byte
}

// readDone is the result of one read of the log. The receiver sends the offset of
// the next read to next.
type readDone struct {
	began time.Time
	from  uint64
	reply infraapi.ReadReply
	err   error
	next  chan<- uint64
}

// fetchDone is the result of one call to a peer.
type fetchDone struct {
	began time.Time
	job   fetchJob
	reply wire.BundleRecords
	err   error
}

// New returns a watcher that has not been started. It fails if a required option is missing.
func New(opts Options) (*Watcher, error) {
	if err := opts.provision(); err != nil {
		return nil, err
	}
	m, err := newMetrics(opts.Meter)
	if err != nil {
		return nil, err
	}
	w := &Watcher{
		opts:         opts,
		core:         newCore(opts.Clock(), opts.Trust, opts.CheckpointInterval, opts.Rand),
		heartbeats:   make(chan heartbeat, heartbeatQueueSize),
		serveLimiter: rate.NewLimiter(serveRate, serveBurst),
		metrics:      m,
	}
	w.view.Store(w.core.chain.View())
	return w, nil
}

// Name implements supervise.Service.
func (w *Watcher) Name() string { return "bundle-watch" }

// Current returns the version in force, or nil before the first. It is safe for concurrent use.
func (w *Watcher) Current() *bundle.Version { return w.current.Load() }

// Subscribe registers a function that is called with each new version, in
// ascending order and from one goroutine. Of several versions that are adopted at
// once, only the last is passed. Subscribe must be called before Run, and the
// function must not block.
func (w *Watcher) Subscribe(f func(*bundle.Version)) { w.subscribers = append(w.subscribers, f) }

// Ready reports whether the version in force is confirmed as current by the log or
// a peer, or neither responded for some seconds. After the process was frozen it
// returns false until the version is confirmed again. It is safe for concurrent use.
func (w *Watcher) Ready() bool {
	age := w.opts.Clock().UnixNano() - w.lastTick.Load()
	return w.ready.Load() && age <= int64(freezeThreshold)
}

// QueueHeartbeat queues the version that a peer announces in its heartbeat. It drops the
// heartbeat if the queue is full. It never blocks and is safe for concurrent use.
func (w *Watcher) QueueHeartbeat(from wire.NodeID, number uint64, digest []byte) {
	select {
	case w.heartbeats <- heartbeat{from: from, number: number, digest: digest}:
	default:
	}
}

// ServeGet answers a peer's request for records. The bytes served per second are
// limited; above the limit, the response has only Busy set. It is safe for
// concurrent use.
func (w *Watcher) ServeGet(get wire.BundleGet) wire.BundleRecords {
	v := w.view.Load()
	reply := wire.BundleRecords{Number: v.Number, Digest: v.Digest[:], CaughtUp: v.CaughtUp, Through: v.Through}
	records := v.RecordsAfter(get.After)
	size := 0
	for _, r := range records {
		size += len(r)
	}
	if !w.serveLimiter.AllowN(w.opts.Clock(), size) {
		return wire.BundleRecords{Busy: true}
	}
	reply.Records = records
	return reply
}

// Run implements supervise.Service. It runs until ctx is done. If it is called again
// after a panic, it continues with the existing chain.
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
	w.runCore(ctx, reads, fetched, actionQueues{fetches: fetches, appends: appends})
	return nil
}

// actionQueues passes the core's actions to the loops that execute them.
type actionQueues struct {
	fetches chan<- fetchJob
	appends chan<- []byte
}

// runCore passes events to the core until ctx is done. It is the only goroutine
// that uses the core.
func (w *Watcher) runCore(ctx context.Context, reads <-chan readDone, fetched <-chan fetchDone, out actionQueues) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	w.core.peers.callInFlight = false
	for {
		var act actions
		select {
		case <-ctx.Done():
			return
		case d := <-reads:
			act = w.core.handleRead(w.opts.Clock(), d.began, d.from, d.reply, d.err)
			d.next <- w.core.chain.Next()
		case d := <-fetched:
			act = w.core.handleFetch(w.opts.Clock(), d.began, d.job, d.reply, d.err)
		case n := <-w.heartbeats:
			if w.core.handleHeartbeat(w.opts.Clock(), n.from, n.number, n.digest) {
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

// tick runs the core's periodic work and updates what Ready reads.
//
// The readiness must be stored before the time of the tick. In the other order, a
// process resumed after a freeze would seem ready until the core's actions,
// including a log line, were executed, and could send requests to an upstream that
// left during the freeze.
func (w *Watcher) tick() actions {
	now := w.opts.Clock()
	act := w.core.tick(now)
	w.ready.Store(w.core.isReady())
	w.lastTick.Store(now.UnixNano())
	return act
}

// send passes the actions to the loops. The queues have room for one action each.
// Sending a fetch cannot block, because the core has at most one call in flight. A
// checkpoint is dropped if the one before it still waits in the queue.
func (o actionQueues) send(act actions) {
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

// publish makes the core's state visible to other goroutines and calls the
// subscribers if there is a new version.
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
	w.ready.Store(w.core.isReady())
}
