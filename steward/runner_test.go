package steward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEngines hold work by address and lose the first replies of cancels.
type fakeEngines struct {
	mu      sync.Mutex
	held    map[string][]engineapi.Held
	down    map[string]bool
	lose    int // cancels that take effect at the second try only
	cancels int
	asked   map[string]int
	seq     uint64
}

func (f *fakeEngines) ask(what, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[what+" "+address]++
	f.seq++
	if f.down[address] {
		return errors.New("connection refused")
	}
	return nil
}

func (f *fakeEngines) Load(_ context.Context, address string) (engineapi.Load, error) {
	err := f.ask("load", address)
	return engineapi.Load{Incarnation: 1, Seq: f.now(), Slots: 20, Active: 7}, err
}

func (f *fakeEngines) now() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seq
}

func (f *fakeEngines) Events(_ context.Context, address string, from uint64) (engineapi.EventsReply, error) {
	return engineapi.EventsReply{Incarnation: 1, Next: from}, f.ask("events", address)
}

func (f *fakeEngines) Held(_ context.Context, address string) (engineapi.HeldReply, error) {
	err := f.ask("held", address)
	f.mu.Lock()
	defer f.mu.Unlock()
	return engineapi.HeldReply{Incarnation: 1, Held: slices.Clone(f.held[address])}, err
}

func (f *fakeEngines) Cancel(_ context.Context, address string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	if f.lose > 0 {
		f.lose--
		return engineapi.CancelReply{}, errors.New("lost")
	}
	f.held[address] = slices.DeleteFunc(f.held[address], func(h engineapi.Held) bool { return h.WorkID == w })
	return engineapi.CancelReply{Found: true}, nil
}

func (f *fakeEngines) count(what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked[what]
}

// fakePeers is a data centre of two daemons, "me" and "other".
type fakePeers struct {
	mu    sync.Mutex
	table *members.Table
	sent  chan wire.Board
}

func (p *fakePeers) View() *members.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Tick(time.Now())
	return p.table.View()
}

func (p *fakePeers) Send(to wire.NodeID, t wire.Type, msg any) {
	if to.Instance == "other" && t == wire.TypeBoard {
		b := *msg.(*wire.Board)
		b.Rows = slices.Clone(b.Rows)
		select {
		case p.sent <- b:
		default:
		}
	}
}

func testVersion() *bundle.Version {
	return &bundle.Version{Number: 3, Bundle: &bundle.Bundle{
		Pools: map[string]bundle.Pool{"d": {Role: bundle.RoleDecode, Slots: 20}, "s": {Role: bundle.RoleService, Slots: 5}},
		Upstreams: map[string]bundle.Upstream{
			"e1": {Pool: "d", DataCentre: "x", Address: "e1:1", State: bundle.StateServing},
			"e2": {Pool: "d", DataCentre: "x", Address: "e2:1", State: bundle.StateServing},
			"e3": {Pool: "d", DataCentre: "x", Address: "e3:1", State: bundle.StateServing},
			"e4": {Pool: "d", DataCentre: "x", Address: "e4:1", State: bundle.StateServing},
			"p2": {Pool: "s", DataCentre: "x", Address: "p2:1", State: bundle.StateServing},
			"p3": {Pool: "s", DataCentre: "x", Address: "p3:1", State: bundle.StateServing},
			"p1": {Pool: "s", DataCentre: "x", Address: "p1:1", State: bundle.StateServing},
		},
	}}
}

// startRunner runs a runner for "me" with "other" Alive until the test ends.
func startRunner(t *testing.T, f *fakeEngines, change func(*Options)) (*Runner, *fakePeers, *board.Holder) {
	t.Helper()
	f.asked = map[string]int{}
	version := testVersion()
	h := board.NewHolder(board.New(board.Config{}))
	h.Update(func(b *board.Board) { b.SetVersion(time.Now(), version) })
	p := &fakePeers{sent: make(chan wire.Board, 100)}
	p.table = members.NewTable(members.Config{Node: wire.NodeID{Instance: "me", Incarnation: 2}, DataCentre: "x",
		DeadAfter: time.Hour, SuspectAfter: time.Hour}, time.Now())
	p.table.Hear(time.Now(), wire.Heartbeat{Node: wire.NodeID{Instance: "other", Incarnation: 1}, DataCentre: "x", Seq: 1})
	o := Options{Engines: f, Peers: p, Board: h, Current: func() *bundle.Version { return version },
		Logger: &log.Logger{Handler: discard.New(), Level: log.DebugLevel}, Rand: rand.New(rand.NewPCG(1, 1)),
		LoadInterval: 20 * time.Millisecond, EventsInterval: 20 * time.Millisecond, HeldInterval: 20 * time.Millisecond,
		BoardInterval: 20 * time.Millisecond, Sweep: SweepConfig{Grace: time.Millisecond}}
	if change != nil {
		change(&o)
	}
	r := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return r, p, h
}

// Symptom: engine memory stays held by an earlier life, or a plain service gets
// engine calls.
// Sequence: every engine holds work of this daemon's earlier life; replies of the
// first cancels are lost; one engine is down.
// Cause: a cancel tried once, one engine that blocks the others, or two stewards
// and none.
func TestRunnerFreesWorkOfItsShareOnly(t *testing.T) {
	f := &fakeEngines{held: map[string][]engineapi.Held{}, lose: 3, down: map[string]bool{}}
	v := testVersion()
	names := map[string]string{}
	for name, u := range v.Bundle.Upstreams {
		names[name] = u.Address
		f.held[u.Address] = []engineapi.Held{work("me", 1, engineapi.HeldDecode)}
	}
	r, p, _ := startRunner(t, f, nil)
	mine := share(p.View(), v.Bundle)
	kinds := map[bool]bool{}
	for _, engine := range mine {
		kinds[engine] = true
	}
	if len(kinds) < 2 || len(mine) == len(names) {
		t.Fatalf("share %v proves nothing", mine)
	}
	for name, engine := range mine {
		if engine {
			waittest.Until(t, name+" is swept", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.held[names[name]]) == 0
			})
		}
		waittest.Until(t, name+" is polled", func() bool { return f.count("load "+names[name]) > 3 })
	}
	for name, address := range names {
		engine, own := mine[name]
		for _, what := range []string{"load ", "held ", "events "} {
			if asked := f.count(what + address); asked > 0 && (!own || what != "load " && !engine) {
				t.Errorf("%s%s asked %d times", what, name, asked)
			}
		}
	}
	if s := r.Stats(); s.Cancels == 0 || s.CancelsFailed != 3 || s.Sweeps == 0 || s.Upstreams != uint64(len(mine)) {
		t.Errorf("stats %+v", s)
	}
}

// Symptom: a dead owner's memory stays held until the next usual listing.
// Sequence: engines hold work of a live peer and are listed; the peer restarts.
// Cause: nothing but the usual interval calls for a listing.
func TestRunnerListsAtOnceAfterADeath(t *testing.T) {
	f := &fakeEngines{held: map[string][]engineapi.Held{}, down: map[string]bool{}}
	for _, u := range testVersion().Bundle.Upstreams {
		f.held[u.Address] = []engineapi.Held{work("other", 1, engineapi.HeldDecode)}
	}
	r, p, _ := startRunner(t, f, func(o *Options) { o.HeldInterval = time.Hour })
	engines := 0
	for _, engine := range share(p.View(), testVersion().Bundle) {
		if engine {
			engines++
		}
	}
	waittest.Until(t, "all listed", func() bool { return r.Stats().Sweeps == uint64(engines) })
	p.mu.Lock()
	p.table.Hear(time.Now(), wire.Heartbeat{Node: wire.NodeID{Instance: "other", Incarnation: 2}, DataCentre: "x", Seq: 1})
	p.mu.Unlock()
	waittest.Until(t, "all freed", func() bool { return r.Stats().Cancels == uint64(engines) })
}

// Symptom: routing goes on to a dead upstream, or peers never see the loads.
// Sequence: all answer, then one stops answering.
// Cause: polls that do not reach the board or the peers.
func TestRunnerTellsBoardAndPeers(t *testing.T) {
	f := &fakeEngines{held: map[string][]engineapi.Held{}, down: map[string]bool{}}
	r, p, h := startRunner(t, f, nil)
	mine := share(p.View(), testVersion().Bundle)
	seen := map[uint16]bool{}
	for len(seen) < len(mine) {
		for _, row := range (<-p.sent).Rows {
			seen[row.Index] = true
			if row.BundleNumber != 3 || row.Active != 7 {
				t.Fatalf("row %+v", row)
			}
		}
	}
	replicas := func() int { return len(h.Snapshot().Pool("d").Replicas()) }
	before := replicas()
	f.mu.Lock()
	for _, u := range testVersion().Bundle.Upstreams {
		f.down[u.Address] = true
	}
	f.mu.Unlock()
	waittest.Until(t, "the board hears of the failures", func() bool { return replicas() < before })
	if r.Stats().PollsFailed == 0 {
		t.Error("failures are not counted")
	}
}

func TestRowFilterTellsChangesAndRefreshes(t *testing.T) {
	f := newRowFilter(time.Second)
	row := wire.BoardRow{BundleNumber: 1, Index: 1, Active: 2}
	aged, busier, next := row, row, row
	aged.AgeMS = 200
	busier.Active = 3
	next.BundleNumber = 2
	steps := []struct {
		name string
		ms   int
		row  wire.BoardRow
		want int
	}{
		{"first", 0, row, 1},
		{"only older", 200, aged, 0},
		{"changed", 400, busier, 1},
		{"refresh", 1400, busier, 1},
		{"other bundle", 1500, next, 1},
	}
	for _, s := range steps {
		if got := len(f.changed(at(s.ms), []wire.BoardRow{s.row})); got != s.want {
			t.Errorf("%s: %d rows, want %d", s.name, got, s.want)
		}
	}
	f.reset()
	if d := cmp.Diff([]wire.BoardRow{next}, f.changed(at(1500), []wire.BoardRow{next})); d != "" {
		t.Error(d)
	}
}

// Symptom: control takes more than its bytes where a daemon has many upstreams.
// Sequence: a daemon's share grows from 4 to 32 and then to a whole data centre.
// Cause: every upstream polled at the interval that suits a few.
func TestAgendaSpreadsPollsOverManyUpstreams(t *testing.T) {
	const seconds = 120
	for n, most := range map[int]int{4: 4 * 2.3 * seconds, 32: 4 * 2.3 * seconds, 1500: 1500 * seconds / 8} {
		a := newAgenda(intervals{load: 500 * time.Millisecond, events: time.Hour, held: time.Hour}, rand.New(rand.NewPCG(1, 1)))
		mine := map[string]bool{}
		for i := range n {
			mine[fmt.Sprint(i)] = false
		}
		a.assign(start, mine)
		polls := 0
		for ms := 0; ms < 1000*seconds; ms += 100 {
			for _, v := range a.due(at(ms), n) {
				polls++
				a.done(v.upstream, true, time.Time{})
			}
		}
		if polls > most+n || polls < most/2 {
			t.Errorf("%d upstreams are polled %d times in %d s, want at most %d", n, polls, seconds, most)
		}
	}
	if few, many := boardStretch(6), boardStretch(45); few != 1 || many != 3 {
		t.Errorf("rows are told at %d and %d intervals", few, many)
	}
}

// Symptom: engines that answer are polled late because one does not.
// Sequence: one upstream fails over and over; orphans show on another.
// Cause: no backoff, no bound, or a sweep that waits for the usual interval.
func TestAgenda(t *testing.T) {
	every := intervals{load: 500 * time.Millisecond, events: time.Second, held: 10 * time.Second}
	a := newAgenda(every, rand.New(rand.NewPCG(1, 1)))
	a.assign(start, map[string]bool{"e": true, "s": false})
	if n := len(a.due(start, 1)); n != 1 {
		t.Errorf("%d visits over the bound", n)
	}
	a.due(start, 9)
	if got := a.due(at(60000), 9); len(got) != 0 {
		t.Errorf("visited twice at once: %v", got)
	}
	a.done("e", true, at(200))
	if got := a.due(at(199), 9); len(got) != 0 {
		t.Errorf("before the grace: %v", got)
	}
	if d := cmp.Diff([]visit{{upstream: "e", held: true}}, a.due(at(200), 9), cmp.AllowUnexported(visit{})); d != "" {
		t.Error(d)
	}
	a.done("e", true, time.Time{})
	a.listAll(at(300))
	if d := cmp.Diff([]visit{{upstream: "e", held: true}}, a.due(at(300), 9), cmp.AllowUnexported(visit{})); d != "" {
		t.Error(d)
	}
	last := 0
	for range 10 {
		last += 60000
		a.done("e", false, time.Time{})
		a.due(at(last), 9)
	}
	if next := a.turns["e"].load; next.Before(at(last+1800)) || next.After(at(last+2200)) {
		t.Errorf("a failing upstream is next polled after %v", next.Sub(at(last)))
	}
	if got := a.assign(at(last), map[string]bool{"s": false}); !cmp.Equal(got, []string{"e"}) {
		t.Errorf("dropped %v", got)
	}
}
