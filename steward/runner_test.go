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

// fakeEngines simulates engines that hold work, by address. The first cancels, as many
// as failCancels says, fail without effect.
type fakeEngines struct {
	mu          sync.Mutex
	held        map[string][]engineapi.Held
	down        map[string]bool
	failCancels int // number of cancels that still are to fail
	cancels     int
	requests    map[string]int
	seq         uint64
}

// record counts a request and fails if the engine is down.
func (f *fakeEngines) record(kind, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[kind+" "+address]++
	f.seq++
	if f.down[address] {
		return errors.New("connection refused")
	}
	return nil
}

func (f *fakeEngines) Load(_ context.Context, address string) (engineapi.Load, error) {
	err := f.record("load", address)
	return engineapi.Load{Incarnation: 1, Seq: f.lastSeq(), Slots: 20, Active: 7}, err
}

func (f *fakeEngines) lastSeq() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seq
}

func (f *fakeEngines) Events(_ context.Context, address string, from uint64) (engineapi.EventsReply, error) {
	return engineapi.EventsReply{Incarnation: 1, Next: from}, f.record("events", address)
}

func (f *fakeEngines) Held(_ context.Context, address string) (engineapi.HeldReply, error) {
	err := f.record("held", address)
	f.mu.Lock()
	defer f.mu.Unlock()
	return engineapi.HeldReply{Incarnation: 1, Held: slices.Clone(f.held[address])}, err
}

func (f *fakeEngines) Cancel(_ context.Context, address string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	if f.failCancels > 0 {
		f.failCancels--
		return engineapi.CancelReply{}, errors.New("lost")
	}
	f.held[address] = slices.DeleteFunc(f.held[address], func(h engineapi.Held) bool { return h.WorkID == w })
	return engineapi.CancelReply{Found: true}, nil
}

// requestCount returns the number of requests for a kind and address, for example
// "load e1:1".
func (f *fakeEngines) requestCount(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[key]
}

// fakePeers implements Peers for a data centre of two daemons, "me" and "other". It
// passes the board messages for "other" to sent.
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

// testVersion returns a bundle with four engines and three plain services.
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

// startRunner starts a Runner for "me", with "other" alive, and stops it at the end of
// the test.
func startRunner(t *testing.T, f *fakeEngines, change func(*Options)) (*Runner, *fakePeers, *board.Holder) {
	t.Helper()
	f.requests = map[string]int{}
	version := testVersion()
	h := board.NewHolder(board.New(board.Config{}))
	h.Update(func(b *board.Board) { b.SetVersion(time.Now(), version) })
	p := &fakePeers{sent: make(chan wire.Board, 100)}
	p.table = members.NewTable(members.Config{Node: wire.NodeID{Instance: "me", Incarnation: 2}, DataCentre: "x",
		DeadAfter: time.Hour, SuspectAfter: time.Hour}, time.Now())
	p.table.HandleHeartbeat(time.Now(), wire.Heartbeat{Node: wire.NodeID{Instance: "other", Incarnation: 1}, DataCentre: "x", Seq: 1})
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

// Symptom: memory of a daemon's earlier incarnation is never released, or a plain
// service receives requests meant for engines.
// Sequence: every engine holds work of this daemon's earlier incarnation; the first
// three cancels fail.
// Cause: a cancel is not repeated, or an upstream has two stewards or none.
func TestRunnerFreesWorkOfItsShareOnly(t *testing.T) {
	f := &fakeEngines{held: map[string][]engineapi.Held{}, failCancels: 3, down: map[string]bool{}}
	v := testVersion()
	names := map[string]string{}
	for name, u := range v.Bundle.Upstreams {
		names[name] = u.Address
		f.held[u.Address] = []engineapi.Held{heldWork("me", 1, engineapi.HeldDecode)}
	}
	r, p, _ := startRunner(t, f, nil)
	isEngine := ownUpstreams(p.View(), v.Bundle)
	kinds := map[bool]bool{}
	for _, engine := range isEngine {
		kinds[engine] = true
	}
	if len(kinds) < 2 || len(isEngine) == len(names) {
		t.Fatalf("share %v lacks engines or services, or contains all upstreams", isEngine)
	}
	for name, engine := range isEngine {
		if engine {
			waittest.Until(t, name+" is swept", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.held[names[name]]) == 0
			})
		}
		waittest.Until(t, name+" is polled", func() bool { return f.requestCount("load "+names[name]) > 3 })
	}
	for name, address := range names {
		engine, own := isEngine[name]
		for _, what := range []string{"load ", "held ", "events "} {
			if asked := f.requestCount(what + address); asked > 0 && (!own || what != "load " && !engine) {
				t.Errorf("%s%s requested %d times, want 0", what, name, asked)
			}
		}
	}
	if s := r.Stats(); s.Cancels == 0 || s.CancelsFailed != 3 || s.Sweeps == 0 || s.Upstreams != uint64(len(isEngine)) {
		t.Errorf("stats %+v", s)
	}
}

// Symptom: memory of a dead owner is held until the next periodic listing.
// Sequence: engines hold work of a live peer and are listed; the peer restarts.
// Cause: listings take place only at the regular interval.
func TestRunnerListsAtOnceAfterADeath(t *testing.T) {
	f := &fakeEngines{held: map[string][]engineapi.Held{}, down: map[string]bool{}}
	for _, u := range testVersion().Bundle.Upstreams {
		f.held[u.Address] = []engineapi.Held{heldWork("other", 1, engineapi.HeldDecode)}
	}
	r, p, _ := startRunner(t, f, func(o *Options) { o.HeldInterval = time.Hour })
	engines := 0
	for _, engine := range ownUpstreams(p.View(), testVersion().Bundle) {
		if engine {
			engines++
		}
	}
	waittest.Until(t, "all listed", func() bool { return r.Stats().Sweeps == uint64(engines) })
	p.mu.Lock()
	p.table.HandleHeartbeat(time.Now(), wire.Heartbeat{Node: wire.NodeID{Instance: "other", Incarnation: 2}, DataCentre: "x", Seq: 1})
	p.mu.Unlock()
	waittest.Until(t, "all freed", func() bool { return r.Stats().Cancels == uint64(engines) })
}

// Symptom: requests are still routed to failed upstreams, or peers receive no loads.
// Sequence: all upstreams respond, then none does.
// Cause: the results of polls do not reach the board or the peers.
func TestRunnerNotifiesBoardAndPeers(t *testing.T) {
	f := &fakeEngines{held: map[string][]engineapi.Held{}, down: map[string]bool{}}
	r, p, h := startRunner(t, f, nil)
	isEngine := ownUpstreams(p.View(), testVersion().Bundle)
	seen := map[uint16]bool{}
	for len(seen) < len(isEngine) {
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
	waittest.Until(t, "the board excludes failed upstreams", func() bool { return replicas() < before })
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

// Symptom: control traffic exceeds its limit on a daemon with many upstreams.
// Sequence: a daemon polls 4, 32 and 1500 upstreams, the last being a whole data
// centre.
// Cause: the polling interval does not depend on the number of upstreams.
func TestAgendaSpreadsPollsOverManyUpstreams(t *testing.T) {
	const seconds = 120
	for n, maxPolls := range map[int]int{4: 4 * 2.3 * seconds, 32: 4 * 2.3 * seconds, 1500: 1500 * seconds / 8} {
		s := newScheduler(intervals{load: 500 * time.Millisecond, events: time.Hour, held: time.Hour}, rand.New(rand.NewPCG(1, 1)))
		isEngine := map[string]bool{}
		for i := range n {
			isEngine[fmt.Sprint(i)] = false
		}
		s.assign(start, isEngine)
		polls := 0
		for ms := 0; ms < 1000*seconds; ms += 100 {
			for _, task := range s.due(at(ms), n) {
				polls++
				s.finish(task.upstream, true, time.Time{})
			}
		}
		if polls > maxPolls+n || polls < maxPolls/2 {
			t.Errorf("%d upstreams are polled %d times in %d s, want at most %d and at least half of that", n, polls, seconds, maxPolls)
		}
	}
	if few, many := rowIntervalStretch(6), rowIntervalStretch(45); few != 1 || many != 3 {
		t.Errorf("rows are sent every %d and %d intervals, want 1 and 3", few, many)
	}
}

// Symptom: engines that respond are polled late because one does not.
// Sequence: an engine shows an orphan, and later its polls fail repeatedly.
// Cause: no backoff, no limit on concurrent polls, or a listing for an orphan that
// waits for the regular interval.
func TestAgenda(t *testing.T) {
	pollIntervals := intervals{load: 500 * time.Millisecond, events: time.Second, held: 10 * time.Second}
	s := newScheduler(pollIntervals, rand.New(rand.NewPCG(1, 1)))
	s.assign(start, map[string]bool{"e": true, "s": false})
	if n := len(s.due(start, 1)); n != 1 {
		t.Errorf("%d polls returned, want the limit of 1", n)
	}
	s.due(start, 9)
	if got := s.due(at(60000), 9); len(got) != 0 {
		t.Errorf("polled again while a poll is in progress: %v", got)
	}
	s.finish("e", true, at(200))
	if got := s.due(at(199), 9); len(got) != 0 {
		t.Errorf("polled before the grace period ended: %v", got)
	}
	if d := cmp.Diff([]pollTask{{upstream: "e", held: true}}, s.due(at(200), 9), cmp.AllowUnexported(pollTask{})); d != "" {
		t.Error(d)
	}
	s.finish("e", true, time.Time{})
	s.listAllNow(at(300))
	if d := cmp.Diff([]pollTask{{upstream: "e", held: true}}, s.due(at(300), 9), cmp.AllowUnexported(pollTask{})); d != "" {
		t.Error(d)
	}
	last := 0
	for range 10 {
		last += 60000
		s.finish("e", false, time.Time{})
		s.due(at(last), 9)
	}
	if next := s.upstreams["e"].nextLoad; next.Before(at(last+1800)) || next.After(at(last+2200)) {
		t.Errorf("a failing upstream is next polled after %v", next.Sub(at(last)))
	}
	if got := s.assign(at(last), map[string]bool{"s": false}); !cmp.Equal(got, []string{"e"}) {
		t.Errorf("no longer assigned: %v, want [e]", got)
	}
}
