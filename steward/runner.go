package steward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Default values of the Options fields with the same names.
const (
	DefaultLoadInterval   = 500 * time.Millisecond
	DefaultEventsInterval = time.Second
	DefaultHeldInterval   = 5 * time.Second
	DefaultBoardInterval  = 500 * time.Millisecond
	DefaultBoardRefresh   = 2 * time.Second
	DefaultTimeout        = 400 * time.Millisecond
	DefaultConcurrency    = 32
	// tickInterval is the time between two checks for polls that are due.
	tickInterval = 25 * time.Millisecond
)

// Engines sends requests to upstreams. upstream.Engines implements it.
type Engines interface {
	// Load reads the load that an upstream reports.
	Load(ctx context.Context, address string) (engineapi.Load, error)
	// Events reads an engine's cache events from a sequence number on.
	Events(ctx context.Context, address string, from uint64) (engineapi.EventsReply, error)
	// Held lists the memory that an engine holds for requests.
	Held(ctx context.Context, address string) (engineapi.HeldReply, error)
	// Cancel cancels work on an engine and thereby releases its memory.
	Cancel(ctx context.Context, address string, w engineapi.WorkID) (engineapi.CancelReply, error)
}

// Peers provides the membership view and sends messages to other daemons.
// peer.Service implements it.
type Peers interface {
	View() *members.View
	Send(to wire.NodeID, t wire.Type, msg any)
}

// Options configure a Runner. A limit or interval of zero is replaced by its default;
// the other fields are required.
type Options struct {
	Engines Engines
	Peers   Peers
	// Board receives the polled loads, failures and cache events, and provides the
	// rows to send to peers.
	Board *board.Holder
	// Current returns the current bundle version, or nil before the first one.
	Current func() *bundle.Version
	Logger  log.Interface
	// Rand is the source of the jitter of polls. The caller must not use it anymore.
	Rand  *rand.Rand
	Sweep SweepConfig

	// LoadInterval, EventsInterval and HeldInterval are the times between polls of
	// one upstream. They are longer while this daemon polls many upstreams.
	// HeldInterval is long because a listing of held memory is large; the death of a
	// daemon or an orphan in the last listing leads to an earlier listing.
	LoadInterval, EventsInterval, HeldInterval time.Duration
	// BoardInterval is the time between two messages with changed board rows to the
	// peers of members.View.Near. BoardRefresh is the time after which an unchanged
	// row is sent again.
	BoardInterval, BoardRefresh time.Duration
	// Timeout is the time limit of one request to an upstream.
	Timeout time.Duration
	// Concurrency is the maximum number of upstreams polled at the same time.
	Concurrency int
}

// Stats holds a runner's counters since its creation and its number of upstreams.
type Stats struct {
	// Sweeps counts listings of held memory that were checked for orphans.
	Sweeps uint64
	// Cancels counts the cancels that an upstream acknowledged, CancelsFailed all
	// other cancels.
	Cancels, CancelsFailed uint64
	// PollsFailed counts polls of an upstream in which at least one request failed.
	PollsFailed uint64
	// RowsSent counts sent board rows, once for each receiver.
	RowsSent uint64
	// Upstreams is the number of upstreams that this daemon is currently steward of.
	Upstreams uint64
}

// Runner performs the steward's tasks for the upstreams that this daemon is steward
// of. It implements supervise.Service.
type Runner struct {
	opts  Options
	stats struct {
		sweeps, cancels, cancelsFailed, pollsFailed, rowsSent, upstreams atomic.Uint64
	}
}

// New returns a runner that is not started.
func New(o Options) *Runner {
	setDefault(&o.LoadInterval, DefaultLoadInterval)
	setDefault(&o.EventsInterval, DefaultEventsInterval)
	setDefault(&o.HeldInterval, DefaultHeldInterval)
	setDefault(&o.BoardInterval, DefaultBoardInterval)
	setDefault(&o.BoardRefresh, DefaultBoardRefresh)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.Concurrency, DefaultConcurrency)
	return &Runner{opts: o}
}

// Name implements supervise.Service.
func (r *Runner) Name() string { return "steward" }

// Stats returns the current values of the counters.
func (r *Runner) Stats() Stats {
	s := &r.stats
	return Stats{
		Sweeps: s.sweeps.Load(), Cancels: s.cancels.Load(), CancelsFailed: s.cancelsFailed.Load(),
		PollsFailed: s.pollsFailed.Load(), RowsSent: s.rowsSent.Load(), Upstreams: s.upstreams.Load(),
	}
}

// runState holds the state of one call of Run.
type runState struct {
	*Runner
	rows *rowFilter

	mu        sync.Mutex // protects scheduler and sweep, which concurrent polls use
	scheduler *scheduler
	sweep     *Sweep

	// The fields below are used only by the loop in Run, except inFlight: the number
	// of running polls, which the polls themselves decrement.
	version    *bundle.Version
	generation uint64
	deaths     uint64
	assigned   []string
	nextRows   time.Time
	inFlight   atomic.Int64
}

// Run implements supervise.Service.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &r.opts
	pollIntervals := intervals{load: o.LoadInterval, events: o.EventsInterval, held: o.HeldInterval}
	rd := &runState{Runner: r, rows: newRowFilter(o.BoardRefresh), scheduler: newScheduler(pollIntervals, o.Rand), sweep: newSweep(o.Sweep)}
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		rd.step(ctx, time.Now(), func(f func()) {
			wg.Go(func() {
				// A panic in a poll reaches the supervisor only once Run returns and
				// waits for the goroutines. Without the cancel the loop would continue
				// and consider the poll in progress forever: the upstream's load would
				// never be read and its board row never sent again.
				completed := false
				defer func() {
					if !completed {
						cancel()
					}
				}()
				f()
				completed = true
			})
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step starts the polls that are due and sends board rows to peers when due. It
// passes each poll to start, which runs it concurrently.
func (rd *runState) step(ctx context.Context, now time.Time, start func(func())) {
	v := rd.opts.Peers.View()
	version := rd.opts.Current()
	if version == nil {
		return
	}
	rd.updateShare(now, v, version)
	rd.mu.Lock()
	if rd.deaths != v.Deaths() {
		rd.deaths = v.Deaths()
		rd.scheduler.listAllNow(now) // the dead daemon may have left orphaned work on any engine
	}
	tasks := rd.scheduler.due(now, rd.opts.Concurrency-int(rd.inFlight.Load()))
	rd.mu.Unlock()
	for _, task := range tasks {
		rd.inFlight.Add(1)
		start(func() {
			defer rd.inFlight.Add(-1)
			rd.poll(ctx, task, version.Bundle.Upstreams[task.upstream].Address)
		})
	}
	if !now.Before(rd.nextRows) {
		rd.nextRows = now.Add(rd.opts.BoardInterval * rowIntervalStretch(len(v.Near())))
		rd.sendRows(now, v)
	}
}

// updateShare determines the upstreams that this daemon is steward of again if the
// membership or the bundle changed. All board rows are then sent again, because a
// new peer has none.
func (rd *runState) updateShare(now time.Time, v *members.View, version *bundle.Version) {
	if rd.version == version && rd.generation == v.Generation() && rd.assigned != nil {
		return
	}
	rd.version, rd.generation = version, v.Generation()
	isEngine := ownUpstreams(v, version.Bundle)
	rd.assigned = make([]string, 0, len(isEngine))
	for name := range isEngine {
		rd.assigned = append(rd.assigned, name)
	}
	slices.Sort(rd.assigned)
	rd.stats.upstreams.Store(uint64(len(isEngine)))
	rd.rows.reset()
	rd.mu.Lock()
	defer rd.mu.Unlock()
	for _, name := range rd.scheduler.assign(now, isEngine) {
		rd.sweep.Forget(name)
	}
}

// ownUpstreams returns the names of the upstreams that this daemon is steward of.
// The value is true for an engine, which holds memory for requests, and false for a
// plain service.
func ownUpstreams(v *members.View, b *bundle.Bundle) map[string]bool {
	isEngine := map[string]bool{}
	for name, u := range b.Upstreams {
		if v.IsSteward(name, u.DataCentre) {
			isEngine[name] = b.Pools[u.Pool].Role != bundle.RoleService
		}
	}
	return isEngine
}

// fullRateReceivers is the number of receivers up to which rows are sent at the
// configured interval.
const fullRateReceivers = 12

// rowIntervalStretch returns the factor by which the number of receivers lengthens
// the interval between messages of board rows, so that they take the same few KB/s.
func rowIntervalStretch(receivers int) time.Duration {
	return time.Duration(max(1, receivers/fullRateReceivers))
}

// sendRows sends the changed board rows to the live peers of this data centre and of
// other data centres with few daemons, as listed by members.View.Near.
func (rd *runState) sendRows(now time.Time, v *members.View) {
	var rows []wire.BoardRow
	rd.opts.Board.Update(func(b *board.Board) { rows = b.Rows(now, rd.assigned) })
	rows = rd.rows.changed(now, rows)
	if len(rows) == 0 {
		return
	}
	for _, m := range v.Near() {
		rd.opts.Peers.Send(m.Node, wire.TypeBoard, &wire.Board{Rows: rows})
		rd.stats.rowsSent.Add(uint64(len(rows)))
	}
}
