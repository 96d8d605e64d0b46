package peer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// short makes every bound of a call pass while a test's forward runs.
func short(o *Options) { o.CallTimeout, o.IdleAfter = 20*time.Millisecond, 20*time.Millisecond }

// Symptom: a draft that carries a bound token is lost after two seconds, unless
// the balancer happened to pick the daemon that minted the token.
// Sequence: forwarded requests run for longer than CallTimeout and IdleAfter, one
// in each direction of a link, and one on a connection that is no link any more.
// Cause: the bounds of calls between daemons are put on callers' requests.
func TestForwardLastsAsLongAsItsRequest(t *testing.T) {
	release := make(chan struct{})
	s := prepare(t, "s", "x", short)
	s.Handle(wire.TypeForward, func(ctx context.Context, _ wire.NodeID, _ []byte) (any, error) {
		<-release
		return &wire.ForwardReply{}, ctx.Err()
	})
	running(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	first := meet(t, s, n)
	first.send(wire.TypeForward, 4, &wire.Forward{})
	old := s.link(n)
	waittest.Until(t, "served", func() bool { return old.busy() })
	second := dialRaw(t, s, n)
	waittest.Until(t, "second is the link", func() bool { return s.link(n) != old })
	out := make(chan error, 1)
	go func() { out <- s.Call(t.Context(), n, wire.TypeForward, &wire.Forward{}, &wire.ForwardReply{}) }()
	id := second.next(wire.TypeForward).ID
	past := time.Now().Add(10*testBeat + 10*s.opts.CallTimeout)
	waittest.Until(t, "the bounds have passed", func() bool { return time.Now().After(past) })
	close(release)
	first.answered(wire.TypeForward, 4)
	second.write(wire.Envelope{Type: wire.TypeForward, ID: id, Reply: true}, &wire.ForwardReply{})
	if err := <-out; err != nil {
		t.Errorf("forward out: %v", err)
	}
}

// Symptom: an engine decodes a forwarded draft to its end for nobody.
// Sequence: a request is forwarded to its token's owner; its caller leaves.
// Cause: only the daemon that the caller was connected to knows.
func TestForwardEndsWithItsCaller(t *testing.T) {
	gone := make(chan struct{})
	// Neither the link's end nor the peer's death may end the handler.
	s := prepare(t, "s", "x", func(o *Options) {
		o.ReadTimeout, o.Members.SuspectAfter, o.Members.DeadAfter = time.Hour, time.Hour, time.Hour
	})
	s.Handle(wire.TypeForward, func(ctx context.Context, _ wire.NodeID, _ []byte) (any, error) {
		<-ctx.Done()
		close(gone)
		return nil, ctx.Err()
	})
	running(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	p := meet(t, s, n)
	ctx, leave := context.WithCancel(t.Context())
	out := make(chan error, 1)
	go func() { out <- s.Call(ctx, n, wire.TypeForward, &wire.Forward{}, nil) }()
	id := p.next(wire.TypeForward).ID
	leave()
	p.answered(wire.TypeCancelCall, id)
	if err := <-out; err == nil {
		t.Error("the call went well")
	}
	p.send(wire.TypeForward, 9, &wire.Forward{})
	p.send(wire.TypeCancelCall, 8, &wire.CancelCall{})
	p.send(wire.TypeCancelCall, 9, &wire.CancelCall{})
	waittest.Receive(t, "the handler ends", gone)
}

// Symptom: a forwarded order that was placed ends as "outcome unknown".
// Sequence: its owner stops gracefully while the answer is made and written.
// Cause: the links are closed as soon as no request is in flight.
func TestFlushLosesNoAnswer(t *testing.T) {
	s := prepare(t, "s", "x", nil)
	s.Handle(wire.TypeForward, func(context.Context, wire.NodeID, []byte) (any, error) {
		time.Sleep(testBeat) // a call takes its time
		return &wire.ForwardReply{Body: make([]byte, 1<<20)}, nil
	})
	stop := running(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	p := meet(t, s, n)
	p.send(wire.TypeForward, 4, &wire.Forward{})
	l := s.link(n)
	waittest.Until(t, "served", l.owes)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Flush(t.Context())
		stop()
	}()
	p.answered(wire.TypeForward, 4)
	<-stopped
}

// A frame that was taken and not written yet still counts as owed: a link that is
// closed then loses it.
func TestQueueIsEmptyOnceWritten(t *testing.T) {
	q := newQueue(1)
	f, err := wire.Encode(wire.Envelope{Type: wire.TypeHello}, &wire.Hello{}, wire.MaxFrame)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Release()
	looks := []bool{q.empty()}
	for _, step := range []func(){func() { q.push(item{frame: f}) }, func() { q.take(nil) }, q.written} {
		step()
		looks = append(looks, q.empty())
	}
	if d := cmp.Diff([]bool{true, false, false, true}, looks); d != "" {
		t.Error(d)
	}
}

// Symptom: keys cannot be claimed, and bundles come late, between two daemons.
// Sequence: drafts that one forwards to the other fill their connection's calls.
// Cause: calls of milliseconds and of minutes share one bound.
func TestForwardsLeaveRoomForCalls(t *testing.T) {
	s := prepare(t, "s", "x", func(o *Options) { o.MaxCalls, o.MaxForwards = 1, 1 })
	s.Handle(wire.TypeForward, func(ctx context.Context, _ wire.NodeID, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	s.Handle(wire.TypeBundleGet, echo)
	running(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	p := meet(t, s, n)
	p.send(wire.TypeForward, 1, &wire.Forward{})
	p.send(wire.TypeForward, 2, &wire.Forward{})
	p.answered(wire.TypeError, 2)
	p.send(wire.TypeBundleGet, 3, &wire.BundleGet{})
	p.answered(wire.TypeBundleGet, 3)
	l := s.link(n)
	for _, kind := range []wire.Type{wire.TypeForward, wire.TypeClaim} {
		if _, _, err := l.begin(kind); err != nil {
			t.Errorf("first call out of type %d: %v", kind, err)
		}
		if _, _, err := l.begin(kind); err == nil {
			t.Errorf("no bound for calls out of type %d", kind)
		}
	}
}
