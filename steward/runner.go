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

// The defaults of Options.
const (
	DefaultLoadInterval   = 500 * time.Millisecond
	DefaultEventsInterval = time.Second
	DefaultHeldInterval   = 5 * time.Second
	DefaultBoardInterval  = 500 * time.Millisecond
	DefaultBoardRefresh   = 2 * time.Second
	DefaultTimeout        = 400 * time.Millisecond
	DefaultConcurrency    = 32
	// tickInterval is how often the agenda is looked at.
	tickInterval = 25 * time.Millisecond
)

// Engines asks upstreams. upstream.Engines implements it.
type Engines interface {
	Load(ctx context.Context, address string) (engineapi.Load, error)
	Events(ctx context.Context, address string, from uint64) (engineapi.EventsReply, error)
	Held(ctx context.Context, address string) (engineapi.HeldReply, error)
	Cancel(ctx context.Context, address string, w engineapi.WorkID) (engineapi.CancelReply, error)
}

// Peers are the other daemons. peer.Service implements it.
type Peers interface {
	View() *members.View
	Send(to wire.NodeID, t wire.Type, msg any)
}

// Options configure a Runner. A zero limit takes its default; the rest is required.
type Options struct {
	Engines Engines
	Peers   Peers
	Board   *board.Holder
	// Current returns the bundle version in force, nil before the first.
	Current func() *bundle.Version
	Logger  log.Interface
	// Rand jitters the polls; the runner takes it over.
	Rand  *rand.Rand
	Sweep SweepConfig

	// LoadInterval, EventsInterval and HeldInterval are the times between polls of
	// one upstream, while this daemon has few. A listing of held memory is large, so that HeldInterval is
	// long; a death or an orphan calls for one at once.
	LoadInterval, EventsInterval, HeldInterval time.Duration
	// BoardInterval is the time between two messages of changed rows to the peers
	// near, BoardRefresh the time after which a row is told again.
	BoardInterval, BoardRefresh time.Duration
	// Timeout bounds one poll or cancel.
	Timeout time.Duration
	// Concurrency bounds the upstreams visited at once.
	Concurrency int
}

// Stats counts what a runner did since it was made.
type Stats struct {
	// Sweeps counts listings of held memory that were judged.
	Sweeps uint64
	// Cancels counts cancels that an upstream acknowledged, CancelsFailed the others.
	Cancels, CancelsFailed uint64
	// PollsFailed counts visits in which a poll failed.
	PollsFailed uint64
	// RowsSent counts board rows, once for each receiver.
	RowsSent uint64
	// Upstreams is the number of upstreams this daemon is steward of now.
	Upstreams uint64
}

// Runner is the steward of this daemon's share of the upstreams. It implements
// supervise.Service.
type Runner struct {
	opts  Options
	stats struct {
		sweeps, cancels, cancelsFailed, pollsFailed, rowsSent, upstreams atomic.Uint64
	}
}

// New returns a runner that has polled nothing.
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

// Stats returns the counters now.
func (r *Runner) Stats() Stats {
	s := &r.stats
	return Stats{
		Sweeps: s.sweeps.Load(), Cancels: s.cancels.Load(), CancelsFailed: s.cancelsFailed.Load(),
		PollsFailed: s.pollsFailed.Load(), RowsSent: s.rowsSent.Load(), Upstreams: s.upstreams.Load(),
	}
}

// round is the state of one call of Run.
type round struct {
	*Runner
	rows *rowFilter

	mu     sync.Mutex // guards what the visits share
	agenda *agenda
	sweep  *Sweep

	// Owned by the loop.
	version    *bundle.Version
	generation uint64
	deaths     uint64
	mine       []string
	nextBoard  time.Time
	busy       atomic.Int64
}

// Run implements supervise.Service.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &r.opts
	every := intervals{load: o.LoadInterval, events: o.EventsInterval, held: o.HeldInterval}
	rd := &round{Runner: r, rows: newRowFilter(o.BoardRefresh), agenda: newAgenda(every, o.Rand), sweep: newSweep(o.Sweep)}
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		rd.step(ctx, time.Now(), func(f func()) {
			wg.Go(func() {
				// A panic in a visit reaches the supervisor only when Run returns and
				// waits. Without the cancel the loop would go on and take the upstream
				// to be under a visit for good: one would notice that its load, and with
				// it the board's row, is never told again.
				whole := false
				defer func() {
					if !whole {
						cancel()
					}
				}()
				f()
				whole = true
			})
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step starts the visits that are due and tells the peers when that is due.
func (rd *round) step(ctx context.Context, now time.Time, start func(func())) {
	v := rd.opts.Peers.View()
	version := rd.opts.Current()
	if version == nil {
		return
	}
	rd.reassign(now, v, version)
	rd.mu.Lock()
	if rd.deaths != v.Deaths() {
		rd.deaths = v.Deaths()
		rd.agenda.listAll(now) // a death may have orphaned work on any engine
	}
	visits := rd.agenda.due(now, rd.opts.Concurrency-int(rd.busy.Load()))
	rd.mu.Unlock()
	for _, visit := range visits {
		rd.busy.Add(1)
		start(func() {
			defer rd.busy.Add(-1)
			rd.visit(ctx, visit, version.Bundle.Upstreams[visit.upstream].Address)
		})
	}
	if !now.Before(rd.nextBoard) {
		rd.nextBoard = now.Add(rd.opts.BoardInterval * boardStretch(len(v.Near())))
		rd.tell(now, v)
	}
}

// reassign works out this daemon's share again when the daemons or the bundle
// changed. A new peer needs every row.
func (rd *round) reassign(now time.Time, v *members.View, version *bundle.Version) {
	if rd.version == version && rd.generation == v.Generation() && rd.mine != nil {
		return
	}
	rd.version, rd.generation = version, v.Generation()
	mine := share(v, version.Bundle)
	rd.mine = make([]string, 0, len(mine))
	for name := range mine {
		rd.mine = append(rd.mine, name)
	}
	slices.Sort(rd.mine)
	rd.stats.upstreams.Store(uint64(len(mine)))
	rd.rows.reset()
	rd.mu.Lock()
	defer rd.mu.Unlock()
	for _, name := range rd.agenda.assign(now, mine) {
		rd.sweep.Forget(name)
	}
}

// share returns the upstreams this daemon is steward of, and whether each is an
// engine and so holds memory for requests.
func share(v *members.View, b *bundle.Bundle) map[string]bool {
	mine := map[string]bool{}
	for name, u := range b.Upstreams {
		if v.Mine(name, u.DataCentre) {
			mine[name] = b.Pools[u.Pool].Role != bundle.RoleService
		}
	}
	return mine
}

// fewReceivers is the number of receivers up to which rows are told at the stated
// interval.
const fewReceivers = 12

// boardStretch returns how much more seldom rows are told to many receivers, so
// that a board costs the same few KB/s.
func boardStretch(receivers int) time.Duration {
	return time.Duration(max(1, receivers/fewReceivers))
}

// tell sends the changed rows to the live peers of the data centre, and of small
// ones nearby.
func (rd *round) tell(now time.Time, v *members.View) {
	var rows []wire.BoardRow
	rd.opts.Board.Update(func(b *board.Board) { rows = b.Rows(now, rd.mine) })
	rows = rd.rows.changed(now, rows)
	if len(rows) == 0 {
		return
	}
	for _, m := range v.Near() {
		rd.opts.Peers.Send(m.Node, wire.TypeBoard, &wire.Board{Rows: rows})
		rd.stats.rowsSent.Add(uint64(len(rows)))
	}
}
