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
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/certtest"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// rawPeer is a connection on which the test writes and reads the frames itself.
type rawPeer struct {
	t *testing.T
	net.Conn
	r *wire.Reader
}

// dialRaw connects to s. It sends a Hello from daemon n unless n is zero.
func dialRaw(t *testing.T, s *Service, n wire.NodeID) *rawPeer {
	t.Helper()
	c, err := net.Dial("tcp", s.opts.Members.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	p := &rawPeer{t: t, Conn: c, r: wire.NewReader(c, wire.MaxFrame)}
	if n != (wire.NodeID{}) {
		p.send(wire.TypeHello, 0, &wire.Hello{Node: n, DataCentre: "x", Address: "127.0.0.1:1"})
	}
	return p
}

// linkRaw connects to s as daemon n and waits until the connection is the link.
func linkRaw(t *testing.T, s *Service, n wire.NodeID) *rawPeer {
	t.Helper()
	p := dialRaw(t, s, n)
	waittest.Until(t, "the raw peer is linked", func() bool { return s.link(n) != nil })
	return p
}

func (p *rawPeer) send(t wire.Type, id uint64, msg any) { p.write(wire.Envelope{Type: t, ID: id}, msg) }

func (p *rawPeer) write(e wire.Envelope, msg any) {
	f, err := wire.Encode(e, msg, wire.MaxFrame)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Release()
	if _, err := p.Write(f.Bytes()); err != nil {
		p.t.Errorf("raw peer: %v", err)
	}
}

// readType returns the next frame of the given type and skips others.
func (p *rawPeer) readType(t wire.Type) *wire.Envelope {
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

// expectFrame returns the next frame of the given type and checks its call ID.
func (p *rawPeer) expectFrame(t wire.Type, id uint64) *wire.Envelope {
	p.t.Helper()
	env := p.readType(t)
	if env.ID != id {
		p.t.Errorf("frame of type %d has call ID %d, want %d", t, env.ID, id)
	}
	return env
}

// waitClosed waits until the service closes the connection, for up to 20 s.
func (p *rawPeer) waitClosed() {
	if err := p.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		p.t.Fatal(err)
	}
	_, err := io.Copy(io.Discard, p)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p.t.Error("the connection was not closed within 20 s")
	}
}

// Guards against a faulty peer that exhausts a daemon's memory or breaks its other
// connections. Each invalid frame below is sent before and after the handshake while
// a working peer is connected; only the connection with the invalid frame may end.
func TestBadFramesEndOnlyTheirConnection(t *testing.T) {
	s := newTestService(t, "s", "x", func(o *Options) { o.MaxFrame = 4096 })
	s.Handle(wire.TypeBundleGet, echoHandler)
	runService(t, s)
	good := startService(t, "good", withSeeds(s))
	waittest.Until(t, "the working peer is alive", hasLiveness(s, nodeID(good), members.Alive))
	framed := func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	otherVersion, _ := msgpack.Marshal(&wire.Envelope{Version: wire.Version + 1, Type: wire.TypeHello})
	badHeartbeat, _ := msgpack.Marshal(&wire.Envelope{Version: wire.Version, Type: wire.TypeHeartbeat, Body: []byte{0xc1}})
	for name, bytes := range map[string][]byte{
		"garbled":           framed([]byte{0xc1, 0xff, 0xc1}),
		"oversized":         binary.BigEndian.AppendUint32(nil, 4097),
		"other version":     framed(otherVersion),
		"garbled heartbeat": framed(badHeartbeat),
	} {
		t.Run(name, func(t *testing.T) {
			for _, p := range []*rawPeer{dialRaw(t, s, wire.NodeID{}), linkRaw(t, s, wire.NodeID{Instance: name, Incarnation: 1})} {
				before := s.Stats().ProtocolErrors
				if _, err := p.Write(bytes); err != nil {
					t.Fatal(err)
				}
				p.waitClosed()
				waittest.Until(t, "the fault is counted", func() bool { return s.Stats().ProtocolErrors > before })
			}
		})
	}
	mustCall(t, good, nodeID(s))
}

// Guards against a message type of a newer release that ends the connection, so that
// daemons of two releases could not run side by side. A peer sends a one-way message
// and a call of an unknown type, a call whose handler panics, and a known call.
func TestUnknownTypeIsAnsweredAndTheConnectionGoesOn(t *testing.T) {
	s := newTestService(t, "s", "x", nil)
	s.Handle(wire.TypeBundleGet, echoHandler)
	s.Handle(wire.TypeClaim, func(context.Context, wire.NodeID, []byte) (any, error) { panic("handler") })
	runService(t, s)
	p := linkRaw(t, s, wire.NodeID{Instance: "newer", Incarnation: 1})
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
		env := p.readType(wire.TypeError)
		var f wire.Failure
		if err := wire.Decode(env.Body, &f); err != nil || f.Kind != c.want || env.ID != c.id {
			t.Errorf("error reply to type %d: call ID %d, %+v, %v", c.t, env.ID, f, err)
		}
	}
	p.send(wire.TypeBundleGet, 10, &wire.BundleGet{})
	if env := p.expectFrame(wire.TypeBundleGet, 10); !env.Reply {
		t.Errorf("frame is not a reply: %+v", env)
	}
}

// Guards against an unbounded send queue or a write without a deadline: a peer that
// never reads while load reports (TypeBoard) are sent to it would make the daemon's
// memory grow and delay its other messages.
func TestStalledPeerIsBoundedAndCutOff(t *testing.T) {
	s := startService(t, "s", func(o *Options) {
		o.QueueLimit = 4
		o.WriteTimeout = time.Second
		o.ReadTimeout = time.Hour
	})
	n := wire.NodeID{Instance: "stalled", Incarnation: 1}
	linkRaw(t, s, n)
	big := &wire.BundleRecords{Records: [][]byte{make([]byte, 1<<20)}}
	l := s.link(n)
	waittest.Until(t, "the stalled peer is disconnected", func() bool {
		s.Send(n, wire.TypeBoard, big)
		l.out.mu.Lock()
		waiting := len(l.out.frames)
		l.out.mu.Unlock()
		if waiting > 4 {
			t.Fatalf("%d frames are queued, limit 4", waiting)
		}
		return s.link(n) == nil
	})
	if s.Stats().Dropped == 0 {
		t.Error("no dropped frame was counted")
	}
}

// Guards against a call that hangs on a peer whose host fails without closing the
// connection. The peer sends a Hello, receives a call and then sends nothing, not even
// a FIN; the read timeout must end the connection and fail the call.
func TestHalfOpenConnectionEndsAndFailsItsCalls(t *testing.T) {
	s := startService(t, "s", func(o *Options) {
		o.ReadTimeout = 200 * time.Millisecond
		o.CallTimeout = 20 * time.Second
		o.IdleTimeout = time.Hour
	})
	n := wire.NodeID{Instance: "gone", Incarnation: 1}
	linkRaw(t, s, n)
	err := s.Call(t.Context(), n, wire.TypeBundleGet, &wire.BundleGet{}, nil)
	if !errors.Is(err, ErrLinkLost) {
		t.Errorf("call on a half-open connection: got %v, want ErrLinkLost", err)
	}
	waittest.Until(t, "the link is removed", func() bool { return s.link(n) == nil })
}

// Guards against connections that are identified by instance name alone: calls would
// reach a process that was replaced, and two processes could use one name unnoticed.
// Incarnation 1 of an instance connects, then 2, then 1 again; finally a later
// incarnation of the daemon's own instance connects.
func TestLaterIncarnationTakesTheLink(t *testing.T) {
	supersededBy := make(chan wire.NodeID, 10)
	s := startService(t, "s", func(o *Options) {
		o.OnEvent = func(a members.Change) {
			if a.Event == members.Superseded {
				supersededBy <- a.Node
			}
		}
	})
	first := linkRaw(t, s, wire.NodeID{Instance: "twin", Incarnation: 1})
	second := wire.NodeID{Instance: "twin", Incarnation: 2}
	linkRaw(t, s, second)
	first.waitClosed()
	earlier := dialRaw(t, s, wire.NodeID{Instance: "twin", Incarnation: 1})
	earlier.waitClosed()
	if s.link(second) == nil {
		t.Error("the later incarnation lost its link")
	}
	ownSuccessor := wire.NodeID{Instance: "s", Incarnation: 6}
	dialRaw(t, s, ownSuccessor)
	if got := <-supersededBy; got != ownSuccessor {
		t.Errorf("superseded by %v, want the later incarnation of s", got)
	}
}

// Guards against calls between live daemons that fail with an unknown outcome because
// a duplicate connection is closed at once. As when both daemons dial at the same time,
// a second connection becomes the link while the first carries a call in each direction.
func TestCallsSurviveADuplicateConnection(t *testing.T) {
	release := make(chan struct{})
	s := newTestService(t, "s", "x", nil)
	s.Handle(wire.TypeBundleGet, func(context.Context, wire.NodeID, []byte) (any, error) {
		<-release
		return &wire.BundleGet{}, nil
	})
	runService(t, s)
	n := wire.NodeID{Instance: "peer", Incarnation: 1}
	first := linkRaw(t, s, n)
	out := make(chan error, 1)
	go func() { out <- s.Call(t.Context(), n, wire.TypeClaim, &wire.ClaimGet{}, &wire.ClaimState{}) }()
	callID := first.readType(wire.TypeClaim).ID
	first.send(wire.TypeBundleGet, 4, &wire.BundleGet{})
	old := s.link(n)
	dialRaw(t, s, n)
	waittest.Until(t, "the second connection is the link", func() bool { return s.link(n) != old })
	close(release)
	first.expectFrame(wire.TypeBundleGet, 4)
	first.write(wire.Envelope{Type: wire.TypeClaim, ID: callID, Reply: true}, &wire.ClaimState{})
	if err := <-out; err != nil {
		t.Errorf("outgoing call on the first connection: %v", err)
	}
	first.waitClosed()
}

// Guards against a link that is replaced every few seconds, for as long as a dead
// daemon is remembered (one hour). A daemon dies and a new instance takes its address;
// dialling that address for the dead daemon reaches the new one again and again.
func TestDeadDaemonsAddressMayBeTaken(t *testing.T) {
	s := newTestService(t, "s", "x", func(o *Options) { o.Members.SuspectAfter, o.Members.DeadAfter = 1, 100*time.Millisecond })
	defer s.opts.Listener.Close()
	now := time.Now()
	addDaemon := func(name string) *link {
		hb := wire.Heartbeat{Node: wire.NodeID{Instance: name, Incarnation: 1}, DataCentre: "x", Address: "10.0.0.1:1", Seq: 1}
		s.table.HandleHeartbeat(now, hb)
		return &link{peer: wire.Hello{Node: hb.Node, Address: hb.Address}}
	}
	addDaemon("first")
	now = now.Add(500 * time.Millisecond)
	s.table.Tick(now)
	if got := s.dialTargets(s.table.View()); len(got) != 1 {
		t.Errorf("dial targets %v, want the dead daemon's address", got)
	}
	s.links["second"] = addDaemon("second")
	s.table.Tick(now)
	if got := s.dialTargets(s.table.View()); len(got) != 0 {
		t.Errorf("dial targets %v, want none: the address belongs to a connected daemon", got)
	}
}

// Guards against a peer whose calls start an unlimited number of goroutines. With a
// limit of one call, a second call is made in each direction while the first one
// has not ended.
func TestCallsInProgressAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := newTestService(t, "s", "x", func(o *Options) { o.MaxCalls = 1 })
	s.Handle(wire.TypeBundleGet, func(context.Context, wire.NodeID, []byte) (any, error) {
		<-release
		return &wire.BundleGet{}, nil
	})
	runService(t, s)
	n := wire.NodeID{Instance: "busy", Incarnation: 1}
	p := linkRaw(t, s, n)
	p.send(wire.TypeBundleGet, 1, &wire.BundleGet{})
	p.send(wire.TypeBundleGet, 2, &wire.BundleGet{})
	p.expectFrame(wire.TypeError, 2)
	close(release)
	p.expectFrame(wire.TypeBundleGet, 1)
	l := s.link(n)
	if _, _, err := l.beginCall(wire.TypeBundleGet); err != nil {
		t.Fatal(err)
	}
	if err := s.Call(t.Context(), n, wire.TypeBundleGet, &wire.BundleGet{}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("outgoing call beyond the limit: got %v, want ErrNotSent", err)
	}
}

// Guards against an accepting side that does not require a client certificate: any
// process could join, read the configuration bundles and send false load reports. A
// daemon with a certificate connects, then a client without one.
func TestMutualTLS(t *testing.T) {
	conf := certtest.Config(t)
	s := startService(t, "s", func(o *Options) { o.TLS = conf })
	good := startService(t, "good", func(o *Options) { withSeeds(s)(o); o.TLS = conf })
	waittest.Until(t, "the peer with a certificate is linked", hasLiveness(good, nodeID(s), members.Alive))
	bare := &tls.Config{RootCAs: conf.RootCAs, ServerName: "127.0.0.1"}
	before := s.Stats().ProtocolErrors
	c, err := tls.Dial("tcp", s.opts.Members.Address, bare)
	if err != nil {
		t.Fatal(err)
	}
	p := &rawPeer{t: t, Conn: c}
	defer c.Close()
	f, _ := wire.Encode(wire.Envelope{Type: wire.TypeHello}, &wire.Hello{Node: wire.NodeID{Instance: "bare", Incarnation: 1}}, wire.MaxFrame)
	_, _ = c.Write(f.Bytes())
	p.waitClosed()
	waittest.Until(t, "the handshake fails", func() bool { return s.Stats().ProtocolErrors > before })
	if s.link(wire.NodeID{Instance: "bare", Incarnation: 1}) != nil {
		t.Error("a client without a certificate was linked")
	}
}

// Guards against a call to a daemon that was replaced at its address: the connection
// leads to another incarnation, and the call must return an error rather than panic.
func TestCallToReplacedDaemonIsNotSent(t *testing.T) {
	address := listenAs(t, wire.NodeID{Instance: "peer", Incarnation: 2})
	s := startService(t, "s", func(o *Options) { o.Members.Heartbeat = time.Hour })
	waittest.Until(t, "the service runs", func() bool { return s.currentRun.Load() != nil })
	old := wire.NodeID{Instance: "peer", Incarnation: 1}
	s.mu.Lock()
	s.table.HandleHeartbeat(time.Now(), wire.Heartbeat{Node: old, DataCentre: "x", Address: address})
	s.mu.Unlock()
	s.tick(s.currentRun.Load(), time.Now(), false)
	err := s.Call(t.Context(), old, wire.TypeBundleGet, &wire.BundleGet{}, nil)
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("call to a replaced daemon: got %v, want ErrNotSent", err)
	}
}

// listenAs accepts connections on the returned address, answers each with a Hello from
// daemon n and reads it until it ends.
func listenAs(t *testing.T, n wire.NodeID) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = ln.Addr().String()
	var conns conc.WaitGroup
	conns.Go(func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			p := &rawPeer{t: t, Conn: c, r: wire.NewReader(c, wire.MaxFrame)}
			p.send(wire.TypeHello, 0, &wire.Hello{Node: n, DataCentre: "x", Address: address})
			conns.Go(func() { _, _ = io.Copy(io.Discard, p); p.Close() }) // until the service closes it
		}
	})
	t.Cleanup(func() { ln.Close(); conns.Wait() })
	return address
}
