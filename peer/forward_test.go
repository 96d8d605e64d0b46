package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Guards against CallTimeout and IdleTimeout being applied to forwarded requests: a
// completion forwarded to the daemon that issued its idempotency token would fail
// after two seconds. Forwarded requests outlast both: an outgoing one on the link and
// an incoming one on a connection that is no longer the link.
func TestForwardLastsAsLongAsItsRequest(t *testing.T) {
	release := make(chan struct{})
	s := newTestService(t, "s", "x", func(o *Options) { o.CallTimeout = testHeartbeat })
	s.Handle(wire.TypeForward, func(ctx context.Context, _ wire.NodeID, _ []byte) (any, error) {
		<-release
		return &wire.ForwardReply{}, ctx.Err()
	})
	runService(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	first := linkRaw(t, s, n)
	first.send(wire.TypeForward, 4, &wire.Forward{})
	old := s.link(n)
	waittest.Until(t, "the request is running", func() bool { return old.hasCalls() })
	second := dialRaw(t, s, n)
	waittest.Until(t, "the second connection is the link", func() bool { return s.link(n) != old })
	out := make(chan error, 1)
	go func() { out <- s.Call(t.Context(), n, wire.TypeForward, &wire.Forward{}, &wire.ForwardReply{}) }()
	id := second.readType(wire.TypeForward).ID
	callsExpired := time.Now().Add(10*testHeartbeat + 10*s.opts.CallTimeout)
	waittest.Until(t, "CallTimeout has passed", func() bool { return time.Now().After(callsExpired) })
	s.closeUnusedLinksAt(time.Now().Add(10 * s.opts.IdleTimeout))
	close(release)
	first.expectFrame(wire.TypeForward, 4)
	second.write(wire.Envelope{Type: wire.TypeForward, ID: id, Reply: true}, &wire.ForwardReply{})
	if err := <-out; err != nil {
		t.Errorf("outgoing forward: %v", err)
	}
}

// closeUnusedLinksAt closes the links that are unused at the given time. With the real
// clock, a link without calls could reach a short IdleTimeout while the test is descheduled.
func (s *Service) closeUnusedLinksAt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeUnusedLinks(now, s.View())
}

// Guards against an engine that decodes a forwarded completion to its end after the
// client has disconnected. The daemon to which the client was connected must cancel
// the call at the daemon that runs the request.
func TestForwardEndsWithItsCaller(t *testing.T) {
	handlerEnded := make(chan struct{})
	// Long timeouts, so that only the cancellation can end the handler, not the end of
	// the link or the failure detector.
	s := newTestService(t, "s", "x", func(o *Options) {
		o.ReadTimeout, o.Members.SuspectAfter, o.Members.DeadAfter = time.Hour, time.Hour, time.Hour
	})
	s.Handle(wire.TypeForward, func(ctx context.Context, _ wire.NodeID, _ []byte) (any, error) {
		<-ctx.Done()
		close(handlerEnded)
		return nil, ctx.Err()
	})
	runService(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	p := linkRaw(t, s, n)
	ctx, cancel := context.WithCancel(t.Context())
	out := make(chan error, 1)
	go func() { out <- s.Call(ctx, n, wire.TypeForward, &wire.Forward{}, nil) }()
	id := p.readType(wire.TypeForward).ID
	cancel()
	p.expectFrame(wire.TypeCancelCall, id)
	if err := <-out; err == nil {
		t.Error("the cancelled call returned no error")
	}
	p.send(wire.TypeForward, 9, &wire.Forward{})
	p.send(wire.TypeCancelCall, 8, &wire.CancelCall{})
	p.send(wire.TypeCancelCall, 9, &wire.CancelCall{})
	waittest.Receive(t, "the handler ends", handlerEnded)
}

// Guards against a forwarded request that was executed but fails with "outcome
// unknown". The daemon that runs it stops gracefully while the reply is computed and
// written; the links must not close before the reply is written.
func TestFlushLosesNoAnswer(t *testing.T) {
	s := newTestService(t, "s", "x", nil)
	s.Handle(wire.TypeForward, func(context.Context, wire.NodeID, []byte) (any, error) {
		time.Sleep(testHeartbeat) // keeps the call running when Flush is called
		return &wire.ForwardReply{Body: make([]byte, 1<<20)}, nil
	})
	stop := runService(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	p := linkRaw(t, s, n)
	p.send(wire.TypeForward, 4, &wire.Forward{})
	l := s.link(n)
	waittest.Until(t, "the request is running", l.hasUnsentReplies)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Flush(t.Context())
		stop()
	}()
	p.expectFrame(wire.TypeForward, 4)
	<-stopped
}

// Guards against a reply that is lost because its connection is closed as unused between
// the end of the call and the write of the reply.
func TestUnusedLinkIsNotClosedBeforeItsRepliesAreWritten(t *testing.T) {
	s := newTestService(t, "s", "x", nil)
	defer s.opts.Listener.Close()
	ours, theirs := net.Pipe()
	defer theirs.Close()
	retired := newLink(s, ours, false)
	s.retire(retired)
	if err := retired.send(wire.Envelope{Type: wire.TypeForward, ID: 4, Reply: true}, &wire.ForwardReply{}); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Hour)
	s.closeUnusedLinksAt(later)
	select {
	case <-retired.done:
		t.Fatal("the connection was closed while a reply was queued")
	default:
	}
	for _, f := range retired.out.drain(nil) {
		f.frame.Release()
	}
	retired.out.markWritten()
	s.closeUnusedLinksAt(later)
	<-retired.done
}

// Guards against a queue that reports flushed between drain and markWritten: closing
// the link at that point would lose the drained frames.
func TestQueueIsEmptyOnceWritten(t *testing.T) {
	q := newQueue(1)
	f, err := wire.Encode(wire.Envelope{Type: wire.TypeHello}, &wire.Hello{}, wire.MaxFrame)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Release()
	flushed := []bool{q.flushed()}
	for _, step := range []func(){func() { q.push(queuedFrame{frame: f}) }, func() { q.drain(nil) }, q.markWritten} {
		step()
		flushed = append(flushed, q.flushed())
	}
	if d := cmp.Diff([]bool{true, false, false, true}, flushed); d != "" {
		t.Error(d)
	}
}

// Guards against forwarded requests, which last for minutes, sharing one concurrency
// limit with calls that take milliseconds: when forwards filled it, keys could not be
// claimed and configuration bundles arrived late.
func TestForwardsLeaveRoomForCalls(t *testing.T) {
	s := newTestService(t, "s", "x", func(o *Options) { o.MaxCalls, o.MaxForwards = 1, 1 })
	s.Handle(wire.TypeForward, func(ctx context.Context, _ wire.NodeID, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	s.Handle(wire.TypeBundleGet, echoHandler)
	runService(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	p := linkRaw(t, s, n)
	p.send(wire.TypeForward, 1, &wire.Forward{})
	p.send(wire.TypeForward, 2, &wire.Forward{})
	p.expectFrame(wire.TypeError, 2)
	p.send(wire.TypeBundleGet, 3, &wire.BundleGet{})
	p.expectFrame(wire.TypeBundleGet, 3)
	l := s.link(n)
	for _, kind := range []wire.Type{wire.TypeForward, wire.TypeClaim} {
		if _, _, err := l.beginCall(kind); err != nil {
			t.Errorf("first outgoing call of type %d: %v", kind, err)
		}
		if _, _, err := l.beginCall(kind); err == nil {
			t.Errorf("second outgoing call of type %d exceeds the limit but was accepted", kind)
		}
	}
}
