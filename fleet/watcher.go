package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

// ErrTrimmed means that the store no longer keeps the records at the requested position.
var ErrTrimmed = errors.New("the requested records have been trimmed from the store")

// IsPositionLost reports whether an error means that a feed must be read anew, since it cannot be read
// on from a position.
func IsPositionLost(err error) bool {
	return errors.Is(err, ErrTrimmed) || errors.Is(err, logpos.ErrRestored)
}

// Feed identifies one of the store's feeds, which are logs of keyed records.
type Feed uint8

// The feeds.
const (
	// FeedConfig holds the configuration.
	FeedConfig Feed = iota
	// FeedUpstreams holds the registrations of upstreams.
	FeedUpstreams
)

// String returns the name used in logs.
func (f Feed) String() string { return [...]string{"config", "upstreams"}[f] }

// Change is one record of a feed. Exactly one field is set.
type Change struct {
	// Config is a new version of the configuration.
	Config *Config
	// Put is a new or updated registration.
	Put *Registration
	// Gone is the name of an upstream whose registration was removed.
	Gone string
}

// Batch is the result of one call to the store.
type Batch struct {
	Changes []Change
	// Next is the offset of the next read, in Epoch.
	Next  uint64
	Epoch logpos.Epoch
	// Away means that the store was unreachable before this call.
	Away bool
	// Age is the time since the store returned the batch, if another daemon read it. It is not
	// encoded: each daemon that passes a batch on tells its own.
	Age time.Duration `msgpack:"-"`
	// Whole means that Changes is a snapshot: it has the newest record of every key, and
	// keys that are not in it have been removed.
	Whole bool
}

// End returns the position of the next read.
func (b Batch) End() logpos.Position { return logpos.Position{Epoch: b.Epoch, Offset: b.Next} }

// Store reads the feeds. Implementations are safe for concurrent use.
type Store interface {
	// Snapshot returns the newest record of every key, and the position of the first record
	// after the snapshot.
	Snapshot(ctx context.Context, f Feed) (Batch, error)
	// Read returns the records from a position on, or a snapshot instead (Batch.Whole), or what
	// has changed since in a later epoch. It waits up to wait for the first record. It returns an
	// error for which IsPositionLost is true if the store no longer has the record at the
	// position.
	Read(ctx context.Context, f Feed, from logpos.Position, wait time.Duration) (Batch, error)
}

// Intervals holds the timing of calls to the store.
type Intervals struct {
	// PollWait is how long the store may hold a read open until there is a new record (long
	// polling). It also bounds how long a dead connection goes unnoticed.
	PollWait time.Duration
	// Retry is the delay after a failed call.
	Retry time.Duration
}

// TimeoutStore is a Store with a timeout on each call. For a Read, the time that it may wait
// for records is added to the timeout.
type TimeoutStore struct {
	Store   Store
	Timeout time.Duration
}

// Snapshot implements Store.
func (b TimeoutStore) Snapshot(ctx context.Context, f Feed) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	return b.Store.Snapshot(ctx, f)
}

// Read implements Store.
func (b TimeoutStore) Read(ctx context.Context, f Feed, from logpos.Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Timeout+wait)
	defer cancel()
	return b.Store.Read(ctx, f, from, wait)
}

// Options configures a Watcher.
type Options struct {
	Store     Store
	Intervals Intervals
	// Instance and DataCentre are the names of this daemon and of its data centre, by which
	// upstreams of large services are selected.
	Instance, DataCentre string
	// Lease is how long the store keeps a registration that its upstream does not renew.
	Lease time.Duration
	// MaxAge is the age from which registrations no longer tell which versions serve.
	MaxAge time.Duration
	// OnReread is called when a feed was read anew, with the reason; nil is allowed.
	OnReread func(f Feed, reason RereadReason)
	// OnView is called with each new view, in order and never concurrently.
	OnView func(now time.Time, v View)
	Logger log.Interface
	Now    func() time.Time
}

// Watcher reads both feeds of a store and keeps the view up to date. It is a
// supervise.Service.
type Watcher struct {
	options     Options
	expiryTimer *time.Timer
	view        atomic.Pointer[View]

	mu       sync.Mutex // guards the fields below
	registry *Registry
	loaded   [2]bool            // by feed: at least one read has succeeded
	failing  [2]bool            // by feed: the last read failed
	position [2]logpos.Position // by feed: the end of what has been applied
}

// NewWatcher returns a watcher. It reads nothing before Run.
func NewWatcher(o Options) *Watcher {
	w := &Watcher{options: o, registry: NewRegistry(o.Instance, o.DataCentre, o.Lease), expiryTimer: time.NewTimer(0)}
	w.expiryTimer.Stop()
	return w
}

// Name implements supervise.Service.
func (w *Watcher) Name() string { return "fleet" }

// View returns the current view, or nil before the first one.
func (w *Watcher) View() *View { return w.view.Load() }

// Registration returns the registration of an upstream, whether or not the view lists it.
func (w *Watcher) Registration(name string) (reg Registration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registry.Registration(name)
}

// Registrations returns the registrations of all upstreams of a service, including those
// that the view does not list. It copies them, so it is meant for the daemon that orders
// engines.
func (w *Watcher) Registrations(service string) []Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registry.Registrations(service)
}

// Ready reports whether both feeds have been read and a configuration is in force.
func (w *Watcher) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded[FeedConfig] && w.loaded[FeedUpstreams] && w.registry.config != nil
}

// Run implements supervise.Service.
func (w *Watcher) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.followFeed(ctx, FeedConfig) })
	wg.Go(func() { w.runExpiry(ctx) })
	w.followFeed(ctx, FeedUpstreams)
	return nil
}

// RereadReason is why a feed is read anew.
type RereadReason string

// The reasons.
const (
	RereadStart    RereadReason = "start"    // nothing has been read yet
	RereadTrimmed  RereadReason = "trimmed"  // the store no longer keeps the next records
	RereadRestored RereadReason = "restored" // the store was restored from a copy
)

// followFeed reads one feed until ctx ends: first a snapshot, then the records after it,
// and a snapshot again if its position is lost.
func (w *Watcher) followFeed(ctx context.Context, f Feed) {
	for needSnapshot := true; ctx.Err() == nil; {
		batch, err := w.readFeed(ctx, f, needSnapshot)
		switch {
		case err == nil:
			batch.Whole = batch.Whole || needSnapshot
			w.applyBatch(f, batch)
			needSnapshot = false
		case IsPositionLost(err):
			needSnapshot = true
		default:
			if ctx.Err() != nil {
				return
			}
			w.recordFailure(f, err)
			if !clock.Sleep(ctx, w.options.Intervals.Retry) {
				return
			}
		}
	}
}

// reportReread logs and counts that a feed was read anew, or went on in a later epoch; w.mu must be
// held.
func (w *Watcher) reportReread(f Feed, reason RereadReason, from logpos.Position, b Batch) {
	w.options.Logger.WithFields(log.Fields{
		"feed": f.String(), "reason": string(reason), "from": from.String(), "next": b.End().String(), "records": len(b.Changes), "held": w.registry.Held(),
	}).Info("feed read anew")
	if w.options.OnReread != nil {
		w.options.OnReread(f, reason)
	}
}

// runExpiry removes expired upstreams as soon as their grace period is over.
func (w *Watcher) runExpiry(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.expiryTimer.C:
			w.mu.Lock()
			w.expireAndPublish(w.options.Now())
			w.mu.Unlock()
		}
	}
}

func (w *Watcher) isFailing(f Feed) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing[f]
}

// positionOf returns the position at which the next read of a feed goes on.
func (w *Watcher) positionOf(f Feed) logpos.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.position[f]
}

func (w *Watcher) readFeed(ctx context.Context, f Feed, snapshot bool) (Batch, error) {
	wait := w.options.Intervals.PollWait
	if f == FeedUpstreams {
		wait = w.waitForConfirmation(wait)
	}
	if w.isFailing(f) {
		// Registrations that the first read after an outage reports as removed count as
		// expired. This read must not wait for records: it could otherwise report
		// registrations that were withdrawn long after the outage, and these would count
		// as expired too.
		wait = 0
	}
	if snapshot {
		return w.options.Store.Snapshot(ctx, f)
	}
	return w.options.Store.Read(ctx, f, w.positionOf(f), wait)
}

// waitForConfirmation shortens a wait for registrations so that the read ends when it can
// confirm that expired upstreams are still missing.
func (w *Watcher) waitForConfirmation(wait time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.registry.ConfirmationDue()
	if due.IsZero() {
		return wait
	}
	return min(wait, max(0, due.Sub(w.options.Now())))
}

// applyBatch applies a batch to the registry and publishes the new view. A batch of an earlier epoch
// than the last one is an answer that came late, and is ignored.
func (w *Watcher) applyBatch(f Feed, b Batch) {
	now := w.options.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	from := w.position[f]
	if from.Epoch.After(b.Epoch) {
		return
	}
	restored := b.Epoch.After(from.Epoch)
	afterOutage := w.failing[f] || b.Away || restored
	if w.failing[f] {
		w.failing[f] = false
		w.options.Logger.WithField("feed", f.String()).Info("store reachable again")
	}
	first := !w.loaded[f]
	w.position[f], w.loaded[f] = b.End(), true
	if f == FeedConfig {
		w.applyConfig(b)
	} else {
		if restored {
			w.registry.BeginEpoch(now)
		}
		w.registry.recordGap(now.Add(-b.Age), b.Whole || restored)
		w.registry.RecordRead(now.Add(-b.Age), afterOutage)
		w.applyRegistrations(now, b, afterOutage)
	}
	if b.Whole || restored {
		w.reportReread(f, rereadReason(first, restored), from, b)
	}
	w.expireAndPublish(now)
}

// rereadReason returns why a feed was read anew: for the first time, or because of a restoration.
func rereadReason(first, restored bool) RereadReason {
	switch {
	case first:
		return RereadStart
	case restored:
		return RereadRestored
	}
	return RereadTrimmed
}

// expireAndPublish removes upstreams whose grace period is over, sets the timer for the
// next end of a grace period and publishes the view. The caller holds w.mu.
func (w *Watcher) expireAndPublish(now time.Time) {
	if next := w.registry.Expire(now); !next.IsZero() {
		w.expiryTimer.Reset(next.Sub(now))
	}
	w.registry.versions.settle(now)
	w.publish(now)
}

func (w *Watcher) applyConfig(b Batch) {
	for _, c := range b.Changes {
		if c.Config == nil {
			continue
		}
		logger := w.options.Logger.WithFields(log.Fields{"version": c.Config.Version, "routes": len(c.Config.Routes), "teams": len(c.Config.Teams)})
		switch newer, err := w.registry.SetConfig(c.Config); {
		case err != nil:
			logger.WithError(err).Error("configuration rejected: the previous one stays in force")
		case newer:
			logger.Info("configuration in force")
		}
	}
}

func (w *Watcher) applyRegistrations(now time.Time, b Batch, afterOutage bool) {
	if b.Whole {
		list := make([]*Registration, 0, len(b.Changes))
		for _, c := range b.Changes {
			if c.Put != nil {
				list = append(list, c.Put)
			}
		}
		w.logMissing(w.registry.Replace(now, list, afterOutage), afterOutage)
		return
	}
	removed := map[string]bool{} // names whose last record in the batch is a removal
	for _, c := range b.Changes {
		switch {
		case c.Put != nil:
			w.registry.Receive(now, c.Put)
			delete(removed, c.Put.Name)
		case c.Gone != "":
			removed[c.Gone] = true
		}
	}
	w.logMissing(w.registry.HandleMissing(now, slices.Sorted(maps.Keys(removed)), afterOutage), afterOutage)
}

// logMissing logs what became of registrations that have disappeared from the store, if any
// have.
func (w *Watcher) logMissing(m Missing, afterOutage bool) {
	if m == (Missing{}) {
		return
	}
	w.options.Logger.WithFields(log.Fields{"withdrawn": m.Withdrawn, "expired": m.Expired, "after_outage": afterOutage}).Info("registrations missing")
}

// publish stores the new view, if there is one, and passes it to OnView. The caller holds
// w.mu.
func (w *Watcher) publish(now time.Time) {
	v, changed := w.registry.View()
	if !changed {
		return
	}
	w.view.Store(&v)
	w.options.OnView(now, v)
	w.options.Logger.WithFields(log.Fields{"view": v.Bundle.Number, "upstreams": len(v.Bundle.Bundle.Upstreams), "registered": len(w.registry.upstreams)}).Info("view updated")
}

func (w *Watcher) recordFailure(f Feed, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failing[f] {
		w.failing[f] = true
		w.options.Logger.WithField("feed", f.String()).WithError(err).Warn("store unreachable")
	}
}
