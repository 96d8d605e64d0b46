package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/certtest"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// raw is a peer whose bytes the test writes itself.
type raw struct {
	t *testing.T
	net.Conn
	r *wire.Reader
}

// dialRaw connects and says hello, unless n is zero.
func dialRaw(t *testing.T, s *Service, n wire.NodeID) *raw {
	t.Helper()
	c, err := net.Dial("tcp", s.opts.Members.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	p := &raw{t: t, Conn: c, r: wire.NewReader(c, wire.MaxFrame)}
	if n != (wire.NodeID{}) {
		p.send(wire.TypeHello, 0, &wire.Hello{Node: n, DataCentre: "x", Address: "127.0.0.1:1"})
	}
	return p
}

func meet(t *testing.T, s *Service, n wire.NodeID) *raw {
	t.Helper()
	p := dialRaw(t, s, n)
	waittest.Until(t, "linked", func() bool { return s.link(n) != nil })
	return p
}

func (p *raw) send(t wire.Type, id uint64, msg any) { p.write(wire.Envelope{Type: t, ID: id}, msg) }

func (p *raw) write(e wire.Envelope, msg any) {
	f, err := wire.Encode(e, msg, wire.MaxFrame)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Release()
	if _, err := p.Write(f.Bytes()); err != nil {
		p.t.Errorf("raw peer: %v", err)
	}
}

// next returns the next frame of a type.
func (p *raw) next(t wire.Type) *wire.Envelope {
	for {
		env, _, err := p.r.Read()
		if err != nil {
			p.t.Fatalf("raw peer: %v", err)
		}
		if env.Type == t {
			return env
		}
	}
}

// answered takes the next frame of a type and checks which call it is about.
func (p *raw) answered(t wire.Type, id uint64) *wire.Envelope {
	p.t.Helper()
	env := p.next(t)
	if env.ID != id {
		p.t.Errorf("type %d came for call %d, want %d", t, env.ID, id)
	}
	return env
}

// closed waits until the service ended the connection.
func (p *raw) closed() {
	if err := p.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		p.t.Fatal(err)
	}
	_, err := io.Copy(io.Discard, p)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p.t.Error("the connection was not ended")
	}
}

// Symptom: one broken peer takes a daemon's memory, or its other connections.
// Sequence: each bad frame below, before and after the handshake, while a good
// peer is connected.
// Cause: bytes taken on trust.
func TestBadFramesEndOnlyTheirConnection(t *testing.T) {
	s := prepare(t, "s", "x", func(o *Options) { o.MaxFrame = 4096 })
	s.Handle(wire.TypeBundleGet, echo)
	running(t, s)
	good := start(t, "good", seeds(s))
	waittest.Until(t, "met", sees(s, id(good), members.Alive))
	framed := func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	old, _ := msgpack.Marshal(&wire.Envelope{Version: wire.Version + 1, Type: wire.TypeHello})
	beat, _ := msgpack.Marshal(&wire.Envelope{Version: wire.Version, Type: wire.TypeHeartbeat, Body: []byte{0xc1}})
	for name, bytes := range map[string][]byte{
		"garbled":           framed([]byte{0xc1, 0xff, 0xc1}),
		"oversized":         binary.BigEndian.AppendUint32(nil, 4097),
		"other version":     framed(old),
		"garbled heartbeat": framed(beat),
	} {
		t.Run(name, func(t *testing.T) {
			for _, p := range []*raw{dialRaw(t, s, wire.NodeID{}), meet(t, s, wire.NodeID{Instance: name, Incarnation: 1})} {
				before := s.Stats().Faults
				if _, err := p.Write(bytes); err != nil {
					t.Fatal(err)
				}
				p.closed()
				waittest.Until(t, "counted", func() bool { return s.Stats().Faults > before })
			}
		})
	}
	mustCall(t, good, id(s))
}

// Symptom: daemons of two releases cannot run side by side.
// Sequence: a newer peer sends a one-way message and a call of a type that this
// release does not have, then a call that it has.
// Cause: an unknown type taken for a fault of the connection.
func TestUnknownTypeIsAnsweredAndTheConnectionGoesOn(t *testing.T) {
	s := prepare(t, "s", "x", nil)
	s.Handle(wire.TypeBundleGet, echo)
	s.Handle(wire.TypeClaim, func(context.Context, wire.NodeID, []byte) (any, error) { panic("handler") })
	running(t, s)
	p := meet(t, s, wire.NodeID{Instance: "newer", Incarnation: 1})
	steps := []struct {
		t    wire.Type
		id   uint64
		want string
	}{
		{200, 0, FailureUnknownType},
		{200, 8, FailureUnknownType},
		{wire.TypeClaim, 9, FailureHandler},
	}
	for _, c := range steps {
		p.send(c.t, c.id, &wire.BundleGet{})
		env := p.next(wire.TypeError)
		var f wire.Failure
		if err := wire.Decode(env.Body, &f); err != nil || f.Kind != c.want || env.ID != c.id {
			t.Errorf("type %d: id %d, %+v, %v", c.t, env.ID, f, err)
		}
	}
	p.send(wire.TypeBundleGet, 10, &wire.BundleGet{})
	if env := p.answered(wire.TypeBundleGet, 10); !env.Reply {
		t.Errorf("answer %+v", env)
	}
}

// Symptom: a daemon's memory grows, and its other messages wait, for one peer.
// Sequence: a peer heartbeats but never reads while it is sent boards.
// Cause: an unbounded queue, or a write without deadline.
func TestStalledPeerIsBoundedAndCutOff(t *testing.T) {
	s := start(t, "s", func(o *Options) {
		o.Queue = 4
		o.WriteTimeout = time.Second
		o.ReadTimeout = time.Hour
	})
	n := wire.NodeID{Instance: "stalled", Incarnation: 1}
	meet(t, s, n)
	big := &wire.BundleRecords{Records: [][]byte{make([]byte, 1<<20)}}
	l := s.link(n)
	waittest.Until(t, "cut off", func() bool {
		s.Send(n, wire.TypeBoard, big)
		l.out.mu.Lock()
		waiting := len(l.out.items)
		l.out.mu.Unlock()
		if waiting > 4 {
			t.Fatalf("%d frames wait", waiting)
		}
		return s.link(n) == nil
	})
	if s.Stats().Dropped == 0 {
		t.Error("no drop was counted")
	}
}

// Symptom: a caller hangs on a peer whose host vanished without a word.
// Sequence: a peer says hello, takes a call and falls silent; no FIN comes.
// Cause: a read without deadline, or calls that outlive their connection.
func TestHalfOpenConnectionEndsAndFailsItsCalls(t *testing.T) {
	s := start(t, "s", func(o *Options) {
		o.ReadTimeout = 200 * time.Millisecond
		o.CallTimeout = 20 * time.Second
		o.IdleAfter = time.Hour
	})
	n := wire.NodeID{Instance: "gone", Incarnation: 1}
	meet(t, s, n)
	err := s.Call(t.Context(), n, wire.TypeBundleGet, &wire.BundleGet{}, nil)
	if !errors.Is(err, ErrLinkLost) {
		t.Errorf("call: %v", err)
	}
	waittest.Until(t, "unlinked", func() bool { return s.link(n) == nil })
}

// Symptom: calls reach a process that was replaced, or two processes share a name.
// Sequence: incarnation 1 connects, then 2 of the same instance, then 1 again; at
// last a later incarnation of the daemon's own instance connects.
// Cause: connections known by instance name alone.
func TestLaterIncarnationTakesTheLink(t *testing.T) {
	over := make(chan wire.NodeID, 10)
	s := start(t, "s", func(o *Options) {
		o.OnEvent = func(a members.Action) {
			if a.Event == members.Superseded {
				over <- a.Node
			}
		}
	})
	first := meet(t, s, wire.NodeID{Instance: "twin", Incarnation: 1})
	second := wire.NodeID{Instance: "twin", Incarnation: 2}
	meet(t, s, second)
	first.closed()
	again := dialRaw(t, s, wire.NodeID{Instance: "twin", Incarnation: 1})
	again.closed()
	if s.link(second) == nil {
		t.Error("the later incarnation lost its link")
	}
	me := wire.NodeID{Instance: "s", Incarnation: 6}
	dialRaw(t, s, me)
	if got := <-over; got != me {
		t.Errorf("superseded by %v", got)
	}
}

// Symptom: a call between two live daemons fails with an unknown outcome.
// Sequence: both dial at once; each direction's connection carries a call when the
// other connection becomes the link.
// Cause: the connection that loses is closed at once.
func TestCallsSurviveADuplicateConnection(t *testing.T) {
	release := make(chan struct{})
	s := prepare(t, "s", "x", nil)
	s.Handle(wire.TypeBundleGet, func(context.Context, wire.NodeID, []byte) (any, error) {
		<-release
		return &wire.BundleGet{}, nil
	})
	running(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	first := meet(t, s, n)
	out := make(chan error, 1)
	go func() { out <- s.Call(t.Context(), n, wire.TypeClaim, &wire.ClaimGet{}, &wire.ClaimState{}) }()
	callID := first.next(wire.TypeClaim).ID
	first.send(wire.TypeBundleGet, 4, &wire.BundleGet{})
	old := s.link(n)
	dialRaw(t, s, n)
	waittest.Until(t, "second is the link", func() bool { return s.link(n) != old })
	close(release)
	first.answered(wire.TypeBundleGet, 4)
	first.write(wire.Envelope{Type: wire.TypeClaim, ID: callID, Reply: true}, &wire.ClaimState{})
	if err := <-out; err != nil {
		t.Errorf("call out: %v", err)
	}
	first.closed()
}

// Symptom: the link to a daemon is replaced every few seconds for an hour.
// Sequence: a daemon dies; a new instance takes its address and is linked.
// Cause: the dead one is dialled at the address that is the new one's now.
func TestDeadDaemonsAddressMayBeTaken(t *testing.T) {
	s := prepare(t, "s", "x", func(o *Options) { o.Members.SuspectAfter, o.Members.DeadAfter = 1, 100*time.Millisecond })
	defer s.opts.Listener.Close()
	now := time.Now()
	hear := func(name string) *link {
		hb := wire.Heartbeat{Node: wire.NodeID{Instance: name, Incarnation: 1}, DataCentre: "x", Address: "10.0.0.1:1", Seq: 1}
		s.table.Hear(now, hb)
		return &link{peer: wire.Hello{Node: hb.Node, Address: hb.Address}}
	}
	hear("first")
	now = now.Add(500 * time.Millisecond)
	s.table.Tick(now)
	if got := s.wanted(s.table.View()); len(got) != 1 {
		t.Errorf("a dead daemon's own address is dialled: %v", got)
	}
	s.links["second"] = hear("second")
	s.table.Tick(now)
	if got := s.wanted(s.table.View()); len(got) != 0 {
		t.Errorf("wanted %v though its daemon is linked", got)
	}
}

// Symptom: one peer's calls take all of a daemon's goroutines.
// Sequence: calls beyond the bound arrive, and are made, while others hang.
// Cause: no bound of calls in progress for each connection.
func TestCallsInProgressAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := prepare(t, "s", "x", func(o *Options) { o.MaxCalls = 1 })
	s.Handle(wire.TypeBundleGet, func(context.Context, wire.NodeID, []byte) (any, error) {
		<-release
		return &wire.BundleGet{}, nil
	})
	running(t, s)
	n := wire.NodeID{Instance: "busy", Incarnation: 1}
	p := meet(t, s, n)
	p.send(wire.TypeBundleGet, 1, &wire.BundleGet{})
	p.send(wire.TypeBundleGet, 2, &wire.BundleGet{})
	p.answered(wire.TypeError, 2)
	close(release)
	p.answered(wire.TypeBundleGet, 1)
	l := s.link(n)
	if _, _, err := l.begin(wire.TypeBundleGet); err != nil {
		t.Fatal(err)
	}
	if err := s.Call(t.Context(), n, wire.TypeBundleGet, &wire.BundleGet{}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("second call out: %v", err)
	}
}

// Symptom: a process without a certificate joins, hears bundles and steers boards.
// Sequence: a daemon with a certificate connects, then a client without one.
// Cause: the accepting side does not ask for the client's certificate.
func TestMutualTLS(t *testing.T) {
	conf := certtest.Config(t)
	s := start(t, "s", func(o *Options) { o.TLS = conf })
	good := start(t, "good", func(o *Options) { seeds(s)(o); o.TLS = conf })
	waittest.Until(t, "met", sees(good, id(s), members.Alive))
	bare := &tls.Config{RootCAs: conf.RootCAs, ServerName: "127.0.0.1"}
	before := s.Stats().Faults
	c, err := tls.Dial("tcp", s.opts.Members.Address, bare)
	if err != nil {
		t.Fatal(err)
	}
	p := &raw{t: t, Conn: c}
	defer c.Close()
	f, _ := wire.Encode(wire.Envelope{Type: wire.TypeHello}, &wire.Hello{Node: wire.NodeID{Instance: "bare", Incarnation: 1}}, wire.MaxFrame)
	_, _ = c.Write(f.Bytes())
	p.closed()
	waittest.Until(t, "refused", func() bool { return s.Stats().Faults > before })
	if s.link(wire.NodeID{Instance: "bare", Incarnation: 1}) != nil {
		t.Error("linked without a certificate")
	}
}
