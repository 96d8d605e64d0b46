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

const testHeartbeat = 20 * time.Millisecond

// newTestService returns a service with an open listener, without running it.
func newTestService(t *testing.T, name, dataCentre string, change func(*Options)) *Service {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := Options{
		Members: members.Config{Node: wire.NodeID{Instance: name, Incarnation: 5}, DataCentre: dataCentre,
			Heartbeat: testHeartbeat, SuspectAfter: time.Second, DeadAfter: 2 * time.Second, RemoteDeadAfter: 4 * time.Second},
		Listener: ln,
		Logger:   &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		Rand:     rand.New(rand.NewPCG(1, 2)),
	}
	if change != nil {
		change(&o)
	}
	return New(o)
}

// runService runs s until stop is called or the test ends.
func runService(t *testing.T, s *Service) (stop func()) {
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

// startService creates and runs a service in data centre "x".
func startService(t *testing.T, name string, change func(*Options)) *Service {
	t.Helper()
	s := newTestService(t, name, "x", change)
	runService(t, s)
	return s
}

// withSeeds returns an option that sets the given services as seeds.
func withSeeds(of ...*Service) func(*Options) {
	return func(o *Options) {
		o.Seeds = func() (out []string) {
			for _, s := range of {
				out = append(out, s.opts.Members.Address)
			}
			return out
		}
	}
}

func nodeID(s *Service) wire.NodeID { return s.opts.Members.Node }

// hasLiveness returns a condition: the view of s lists the other daemon with liveness l.
func hasLiveness(s *Service, other wire.NodeID, l members.Liveness) func() bool {
	return func() bool { return s.View().Liveness(other) == l }
}

// echoHandler replies to a BundleGet with the same message.
func echoHandler(_ context.Context, _ wire.NodeID, body []byte) (any, error) {
	var g wire.BundleGet
	err := wire.Decode(body, &g)
	return &g, err
}

// mustCall fails the test unless a call to a peer succeeds with the echoed request.
func mustCall(t *testing.T, from *Service, to wire.NodeID) {
	t.Helper()
	var got wire.BundleGet
	if err := from.Call(t.Context(), to, wire.TypeBundleGet, &wire.BundleGet{After: 7}, &got); err != nil || got.After != 7 {
		t.Errorf("call: error %v, reply %+v", err, got)
	}
}

func TestDaemonsMeetFromOneSeedAndCallEachOther(t *testing.T) {
	a := startService(t, "a", nil)
	b := newTestService(t, "b", "x", withSeeds(a))
	b.Handle(wire.TypeBundleGet, echoHandler)
	got := make(chan wire.Board, 1)
	b.Handle(wire.TypeBoard, func(_ context.Context, from wire.NodeID, body []byte) (any, error) {
		var m wire.Board
		err := wire.Decode(body, &m)
		if from.Instance == "c" {
			got <- m
		}
		return nil, err
	})
	stopB := runService(t, b)
	c := startService(t, "c", withSeeds(a))
	all := []*Service{a, b, c}
	for _, s := range all {
		for _, o := range all {
			waittest.Until(t, "every daemon is alive in every view", hasLiveness(s, nodeID(o), members.Alive))
		}
	}
	mustCall(t, c, nodeID(b))
	want := wire.Board{Rows: []wire.BoardRow{{Index: 3, Active: 4}}}
	c.Send(nodeID(b), wire.TypeBoard, &want)
	if d := cmp.Diff(want, <-got); d != "" {
		t.Error(d)
	}
	stopB()
	waittest.Until(t, "b is dead in the view of c", hasLiveness(c, nodeID(b), members.Dead))
	if err := c.Call(t.Context(), nodeID(b), wire.TypeBundleGet, &wire.BundleGet{}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to a dead peer: got %v, want ErrNotSent", err)
	}
}

func TestCallReachesADaemonThatIsNoNeighbour(t *testing.T) {
	var all []*Service
	for _, dc := range []string{"x", "y"} {
		for _, n := range []string{"1", "2", "3", "4"} {
			s := newTestService(t, dc+n, dc, func(o *Options) {
				o.Members.Contacts = 1
				if len(all) > 0 {
					withSeeds(all[0])(o)
				}
			})
			s.Handle(wire.TypeBundleGet, echoHandler)
			runService(t, s)
			all = append(all, s)
		}
	}
	for _, s := range all {
		waittest.Until(t, "all daemons are alive", func() bool { return len(s.View().Live()) == len(all) })
	}
	neighbours := map[wire.NodeID]bool{nodeID(all[1]): true}
	for _, n := range all[1].View().Neighbours() {
		neighbours[n.Node] = true
	}
	called := 0
	for _, s := range all {
		if !neighbours[nodeID(s)] {
			mustCall(t, all[1], nodeID(s))
			called++
		}
	}
	if called == 0 {
		t.Error("every daemon is a neighbour, so no call to a non-neighbour was tested")
	}
}

// Guards against a short heartbeat that is expanded from the wrong full heartbeat, or
// that is not followed by a full one after a change: peers would act on an old bundle
// number. The announcement changes while heartbeats are exchanged.
func TestShortHeartbeatsCarryTheLastAnnouncement(t *testing.T) {
	var number atomic.Uint64
	number.Store(1)
	a := newTestService(t, "a", "x", nil)
	a.OnSendHeartbeat(func(hb *wire.Heartbeat) {
		hb.BundleNumber, hb.BundleDigest, hb.Leaving = number.Load(), make([]byte, 32), []string{"u"}
	})
	runService(t, a)
	b := newTestService(t, "b", "x", withSeeds(a))
	received := make(chan wire.Heartbeat, 1000)
	b.OnHeartbeat(func(hb wire.Heartbeat) { received <- hb })
	runService(t, b)
	for want := uint64(1); want <= 2; want++ {
		number.Store(want)
		for current, outdated := 0, 0; current < 5; {
			hb := <-received
			if hb.BundleNumber != want {
				outdated++
			}
			if outdated > fullHeartbeatEvery/2 {
				t.Fatalf("%d heartbeats after the change still carry the old bundle number", outdated)
			}
			if hb.Node != nodeID(a) || len(hb.Leaving) != 1 || hb.BundleNumber > want || hb.BundleNumber < want-1 || hb.BundleNumber == 0 {
				t.Fatalf("received an unexpected heartbeat: %+v", hb)
			}
			if hb.BundleNumber == want {
				current++
			}
		}
	}
	const maxMeanBytes = 50 // the full heartbeat here is larger; a short one takes about 26 bytes
	if out := a.Stats(); out.BytesOut > maxMeanBytes*out.FramesOut {
		t.Errorf("%d bytes in %d frames: heartbeats are not short", out.BytesOut, out.FramesOut)
	}
}

// Guards against a daemon that keeps an outdated view after a process pause, or that
// stays frozen. The ticker is 3 s late while the peer is alive and RefreshAfter is one
// hour away, so that only an echo of a heartbeat sent after the pause can end the freeze.
func TestThawByEchoOverConnections(t *testing.T) {
	b := startService(t, "b", nil)
	thawed := make(chan struct{}, 1)
	a := startService(t, "a", func(o *Options) {
		withSeeds(b)(o)
		o.Members.RefreshAfter = time.Hour
		o.OnEvent = func(e members.Change) {
			if e.Event == members.Thawed {
				select {
				case thawed <- struct{}{}:
				default:
				}
			}
		}
	})
	waittest.Until(t, "b is alive in the view of a", hasLiveness(a, nodeID(b), members.Alive))
	a.tick(a.currentRun.Load(), time.Now().Add(3*time.Second), false)
	<-thawed
	waittest.Until(t, "a is not frozen", func() bool { return !a.Frozen(time.Now()) })
}

// Guards against a blocked link that stays open, and against dead daemons that are not
// dialled again after a network partition. Two daemons connect, IsBlocked cuts their link
// until each is dead in the other's view, and then allows it again.
func TestBlockCutsAndHeals(t *testing.T) {
	var blocked atomic.Bool
	block := func(o *Options) { o.IsBlocked = func(string) bool { return blocked.Load() } }
	a := startService(t, "a", block)
	b := startService(t, "b", func(o *Options) { withSeeds(a)(o); block(o) })
	waittest.Until(t, "both are alive", func() bool {
		return hasLiveness(a, nodeID(b), members.Alive)() && hasLiveness(b, nodeID(a), members.Alive)()
	})
	blocked.Store(true)
	waittest.Until(t, "both are dead", func() bool {
		return hasLiveness(a, nodeID(b), members.Dead)() && hasLiveness(b, nodeID(a), members.Dead)()
	})
	blocked.Store(false)
	waittest.Until(t, "both are alive again", func() bool {
		return hasLiveness(a, nodeID(b), members.Alive)() && hasLiveness(b, nodeID(a), members.Alive)()
	})
}
