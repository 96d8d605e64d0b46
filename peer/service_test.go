package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testBeat = 20 * time.Millisecond

// prepare returns a service that listens but does not run yet.
func prepare(t *testing.T, name, dataCentre string, change func(*Options)) *Service {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := Options{
		Members: members.Config{Node: wire.NodeID{Instance: name, Incarnation: 5}, DataCentre: dataCentre,
			Heartbeat: testBeat, SuspectAfter: time.Second, DeadAfter: 2 * time.Second, FarDeadAfter: 4 * time.Second},
		Listener: ln,
		Logger:   &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		Rand:     rand.New(rand.NewPCG(1, 2)),
	}
	if change != nil {
		change(&o)
	}
	return New(o)
}

// running runs s until the test ends.
func running(t *testing.T, s *Service) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

func start(t *testing.T, name string, change func(*Options)) *Service {
	t.Helper()
	s := prepare(t, name, "x", change)
	running(t, s)
	return s
}

func seeds(of ...*Service) func(*Options) {
	return func(o *Options) {
		o.Seeds = func() (out []string) {
			for _, s := range of {
				out = append(out, s.opts.Members.Address)
			}
			return out
		}
	}
}

func id(s *Service) wire.NodeID { return s.opts.Members.Node }

func sees(s *Service, other wire.NodeID, l members.Liveness) func() bool {
	return func() bool { return s.View().Liveness(other) == l }
}

func echo(_ context.Context, _ wire.NodeID, body []byte) (any, error) {
	var g wire.BundleGet
	err := wire.Decode(body, &g)
	return &g, err
}

// mustCall fails the test unless a call to a live peer comes back whole.
func mustCall(t *testing.T, from *Service, to wire.NodeID) {
	t.Helper()
	var got wire.BundleGet
	if err := from.Call(t.Context(), to, wire.TypeBundleGet, &wire.BundleGet{After: 7}, &got); err != nil || got.After != 7 {
		t.Errorf("call: %v, %+v", err, got)
	}
}

func TestDaemonsMeetFromOneSeedAndCallEachOther(t *testing.T) {
	a := start(t, "a", nil)
	b := prepare(t, "b", "x", seeds(a))
	b.Handle(wire.TypeBundleGet, echo)
	got := make(chan wire.Board, 1)
	b.Handle(wire.TypeBoard, func(_ context.Context, from wire.NodeID, body []byte) (any, error) {
		var m wire.Board
		err := wire.Decode(body, &m)
		if from.Instance == "c" {
			got <- m
		}
		return nil, err
	})
	stopB := running(t, b)
	c := start(t, "c", seeds(a))
	all := []*Service{a, b, c}
	for _, s := range all {
		for _, o := range all {
			waittest.Until(t, "everybody sees everybody", sees(s, id(o), members.Alive))
		}
	}
	mustCall(t, c, id(b))
	want := wire.Board{Rows: []wire.BoardRow{{Index: 3, Active: 4}}}
	c.Send(id(b), wire.TypeBoard, &want)
	if d := cmp.Diff(want, <-got); d != "" {
		t.Error(d)
	}
	stopB()
	waittest.Until(t, "b is dead for c", sees(c, id(b), members.Dead))
	if err := c.Call(t.Context(), id(b), wire.TypeBundleGet, &wire.BundleGet{}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call of a dead peer: %v", err)
	}
}

func TestCallReachesADaemonThatIsNoNeighbour(t *testing.T) {
	var all []*Service
	for _, dc := range []string{"x", "y"} {
		for _, n := range []string{"1", "2", "3", "4"} {
			s := prepare(t, dc+n, dc, func(o *Options) {
				o.Members.Contacts = 1
				if len(all) > 0 {
					seeds(all[0])(o)
				}
			})
			s.Handle(wire.TypeBundleGet, echo)
			running(t, s)
			all = append(all, s)
		}
	}
	for _, s := range all {
		waittest.Until(t, "all live", func() bool { return len(s.View().Live()) == len(all) })
	}
	near := map[wire.NodeID]bool{id(all[1]): true}
	for _, n := range all[1].View().Neighbours() {
		near[n.Node] = true
	}
	strangers := 0
	for _, s := range all {
		if !near[id(s)] {
			mustCall(t, all[1], id(s))
			strangers++
		}
	}
	if strangers == 0 {
		t.Error("the names leave no stranger to call")
	}
}

// Symptom: peers act on an old bundle number, or never hear of a change.
// Sequence: heartbeats go on, short ones among them; the announcement changes.
// Cause: a short heartbeat expanded from the wrong one, or never followed by a full one.
func TestShortHeartbeatsCarryTheLastAnnouncement(t *testing.T) {
	var number atomic.Uint64
	number.Store(1)
	a := prepare(t, "a", "x", nil)
	a.Announce(func(hb *wire.Heartbeat) {
		hb.BundleNumber, hb.BundleDigest, hb.Leaving = number.Load(), make([]byte, 32), []string{"u"}
	})
	running(t, a)
	b := prepare(t, "b", "x", seeds(a))
	heard := make(chan wire.Heartbeat, 1000)
	b.OnHeartbeat(func(hb wire.Heartbeat) { heard <- hb })
	running(t, b)
	for want := uint64(1); want <= 2; want++ {
		number.Store(want)
		for same, old := 0, 0; same < 5; {
			hb := <-heard
			if hb.BundleNumber != want {
				old++
			}
			if old > fullEvery/2 {
				t.Fatalf("%d heartbeats after the change do not tell of it", old)
			}
			if hb.Node != id(a) || len(hb.Leaving) != 1 || hb.BundleNumber > want || hb.BundleNumber < want-1 || hb.BundleNumber == 0 {
				t.Fatalf("heard %+v", hb)
			}
			if hb.BundleNumber == want {
				same++
			}
		}
	}
	const between = 50 // bytes; the full heartbeat here takes more, a short one about 26
	if out := a.Stats(); out.BytesOut > between*out.FramesOut {
		t.Errorf("mean frame %d/%d bytes: heartbeats are not short", out.BytesOut, out.FramesOut)
	}
}

// Symptom: a thawed daemon goes on with an old view, or stays frozen for good.
// Sequence: the ticker is late by 3 s; peers live; the refresh period is far off.
// Cause: only an echo of a heartbeat sent after the stop proves a fresh word.
func TestThawByEchoOverConnections(t *testing.T) {
	b := start(t, "b", nil)
	thawed := make(chan struct{}, 1)
	a := start(t, "a", func(o *Options) {
		seeds(b)(o)
		o.Members.RefreshAfter = time.Hour
		o.OnEvent = func(e members.Action) {
			if e.Event == members.Thawed {
				select {
				case thawed <- struct{}{}:
				default:
				}
			}
		}
	})
	waittest.Until(t, "a sees b", sees(a, id(b), members.Alive))
	a.step(a.run.Load(), time.Now().Add(3*time.Second), false)
	<-thawed
	waittest.Until(t, "not frozen", func() bool { return !a.Frozen(time.Now()) })
}

// Symptom: a cut test link stays up, or daemons stay apart after it is healed.
// Sequence: two daemons meet, the link is cut until they are dead, then healed.
// Cause: the dead are not dialled, or a blocked link is not closed.
func TestBlockCutsAndHeals(t *testing.T) {
	var cut atomic.Bool
	block := func(o *Options) { o.Block = func(string) bool { return cut.Load() } }
	a := start(t, "a", block)
	b := start(t, "b", func(o *Options) { seeds(a)(o); block(o) })
	waittest.Until(t, "met", func() bool { return sees(a, id(b), members.Alive)() && sees(b, id(a), members.Alive)() })
	cut.Store(true)
	waittest.Until(t, "dead", func() bool { return sees(a, id(b), members.Dead)() && sees(b, id(a), members.Dead)() })
	cut.Store(false)
	waittest.Until(t, "again", func() bool { return sees(a, id(b), members.Alive)() && sees(b, id(a), members.Alive)() })
}
