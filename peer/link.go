package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// The reasons for which this daemon closes or rejects a connection.
var (
	errStopped    = errors.New("service stopped")
	errBlocked    = errors.New("link is blocked")
	errIdle       = errors.New("connection was idle")
	errSelf       = errors.New("peer has the instance name of this daemon")
	errSuperseded = errors.New("a later incarnation of the peer is known")
	errDuplicate  = errors.New("another connection is the link to the peer")
	errHandshake  = errors.New("first frame is not a hello")
)

// link is one connection to one incarnation of a peer. New calls use the connection in
// Service.links, called the link to the peer elsewhere in this package; duplicates are
// in Service.retired until they close.
type link struct {
	s            *Service
	conn         net.Conn
	dialled      bool // this daemon opened the connection
	reader       *wire.Reader
	peer         wire.Hello    // set by handshake
	out          *queue        // frames to be written
	done         chan struct{} // closed when the connection ends
	closeOnce    sync.Once
	closeCause   atomic.Pointer[error]         // why the connection ended; set by the first close
	lastUseNanos atomic.Int64                  // time of the last call, in nanoseconds since the epoch
	frameDropped atomic.Bool                   // a frame was dropped, so the next heartbeat must be full
	inboundSlots [numCallClasses]chan struct{} // semaphores of concurrent incoming calls

	// Guarded by Service.mu.
	gossipCursor  members.Cursor  // how much of the table the peer has been sent
	lastFullSent  *wire.Heartbeat // the last full heartbeat sent
	sentSinceFull int             // number of heartbeats sent since lastFullSent
	pendingEcho   uint64          // sequence number to echo in the next heartbeat; 0 for none

	// Used by the reading goroutine only.
	lastReceived wire.Heartbeat // the last heartbeat received, expanded to full

	mu              sync.Mutex
	nextID          uint64                        // ID of the latest outgoing call
	outboundResults map[uint64]chan callResult    // by call ID, for outgoing calls; nil once the connection has ended
	outboundCalls   [numCallClasses]int           // number of outgoing calls in progress
	inboundCancels  map[uint64]context.CancelFunc // by call ID, for incoming calls in progress
}

// callResult is the outcome of an outgoing call: a copy of the reply's body, or an
// error.
type callResult struct {
	body []byte
	err  error
}

// maxHelloBytes is the maximum size of the first frame of a connection. Anyone can send one.
const maxHelloBytes = 64 << 10

// newLink returns a link for a connection on which the handshake is still to be done.
func newLink(s *Service, c net.Conn, dialled bool) *link {
	l := &link{
		s: s, conn: c, dialled: dialled,
		reader: wire.NewReader(c, min(maxHelloBytes, s.opts.MaxFrame)),
		out:    newQueue(s.opts.QueueLimit),
		done:   make(chan struct{}),
		inboundSlots: [numCallClasses]chan struct{}{
			classShortCall: make(chan struct{}, s.opts.MaxCalls),
			classForward:   make(chan struct{}, s.opts.MaxForwards),
		},
		outboundResults: map[uint64]chan callResult{},
		inboundCancels:  map[uint64]context.CancelFunc{},
	}
	l.markUsed()
	return l
}

func (l *link) markUsed()           { l.lastUseNanos.Store(time.Now().UnixNano()) }
func (l *link) lastUsed() time.Time { return time.Unix(0, l.lastUseNanos.Load()) }

// close ends the connection and records the cause. Further calls have no effect.
func (l *link) close(cause error) {
	l.closeOnce.Do(func() {
		l.closeCause.Store(&cause)
		close(l.done)
		rawConn(l.conn).Close()
		l.out.close()
	})
}

// rawConn returns the TCP connection below TLS. Closing a tls.Conn first tries to
// write an alert, which blocks for seconds when the peer does not read.
func rawConn(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}

// handshake sends this daemon's Hello and reads the peer's within DialTimeout.
func (l *link) handshake() error {
	o := &l.s.opts
	if err := l.conn.SetDeadline(time.Now().Add(o.DialTimeout)); err != nil {
		return err
	}
	if c, ok := l.conn.(*tls.Conn); ok {
		if err := c.Handshake(); err != nil {
			return errors.Wrap(err, "tls")
		}
	}
	m := o.Members
	f, err := wire.Encode(wire.Envelope{Type: wire.TypeHello}, &wire.Hello{Node: m.Node, DataCentre: m.DataCentre, Address: m.Address}, o.MaxFrame)
	if err != nil {
		return err
	}
	defer f.Release()
	if err := l.writeFrame(l.conn, f); err != nil {
		return err
	}
	env, n, err := l.reader.Read()
	if err != nil {
		return err
	}
	l.countReceived(n)
	if env.Type != wire.TypeHello {
		return errHandshake
	}
	l.reader.SetLimit(o.MaxFrame)
	if err := wire.Decode(env.Body, &l.peer); err != nil {
		return err
	}
	if l.peer.Node.Instance == "" || l.peer.Node.Incarnation == 0 {
		return errHandshake
	}
	l.lastReceived = wire.Heartbeat{Node: l.peer.Node, DataCentre: l.peer.DataCentre, Address: l.peer.Address}
	return l.conn.SetDeadline(time.Time{})
}

// serve reads and writes frames until the connection ends.
func (l *link) serve(r *run) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	if !r.spawn(func() { l.writeLoop() }) {
		l.close(errStopped)
	}
	err := l.readLoop(ctx, r)
	l.close(err)
	l.s.unregister(l)
	l.failCalls()
	var fault *wire.FrameError
	if errors.As(err, &fault) {
		l.s.counters.faults.Add(1)
	}
	l.s.opts.Logger.WithError(*l.closeCause.Load()).WithField("instance", l.peer.Node.Instance).Info("peer connection ended")
}

// writeLoop writes queued frames. It closes the connection to a peer that does not
// read for WriteTimeout.
func (l *link) writeLoop() {
	w := bufio.NewWriter(l.conn)
	var batch []queuedFrame
	for {
		select {
		case <-l.done:
			return
		case <-l.out.ready:
		}
		batch = l.out.drain(batch[:0])
		if err := l.writeBatch(w, batch); err != nil {
			l.close(errors.Wrap(err, "write"))
			return
		}
		l.out.markWritten()
	}
}

// writeBatch writes and releases the frames, with a write deadline for each.
func (l *link) writeBatch(w *bufio.Writer, batch []queuedFrame) (err error) {
	for _, it := range batch {
		if err == nil {
			err = l.conn.SetWriteDeadline(time.Now().Add(l.s.opts.WriteTimeout))
		}
		if err == nil {
			err = l.writeFrame(w, it.frame)
		}
		it.frame.Release()
	}
	if err != nil {
		return err
	}
	return w.Flush()
}

// writeFrame writes one frame and counts it.
func (l *link) writeFrame(w interface{ Write([]byte) (int, error) }, f *wire.Frame) error {
	n, err := w.Write(f.Bytes())
	l.s.counters.framesOut.Add(1)
	l.s.counters.bytesOut.Add(uint64(n))
	return err
}

// countReceived counts a received frame of n bytes.
func (l *link) countReceived(n int) {
	l.s.counters.framesIn.Add(1)
	l.s.counters.bytesIn.Add(uint64(n))
}

// send queues one message. It fails when the message cannot be encoded or the send
// queue is closed or full.
func (l *link) send(e wire.Envelope, msg any) error {
	f, err := wire.Encode(e, msg, l.s.opts.MaxFrame)
	if err != nil {
		return err
	}
	ok, dropped := l.out.push(queuedFrame{frame: f, oneWay: e.ID == 0})
	if dropped {
		l.s.counters.dropped.Add(1)
		l.frameDropped.Store(true)
	}
	if !ok {
		return errors.New("send queue is full")
	}
	return nil
}

// notifySuperseded sends the peer one heartbeat that lists the later incarnation of
// its instance, before the connection is closed. It then waits until the peer closes
// its side: closing a socket with unread data resets the connection, and the peer
// would discard the heartbeat unread.
func (l *link) notifySuperseded() {
	o := &l.s.opts
	later, ok := l.s.View().Member(l.peer.Node.Instance)
	if !ok {
		return
	}
	hb := wire.Heartbeat{
		Node:       o.Members.Node,
		DataCentre: o.Members.DataCentre,
		Address:    o.Members.Address,
		Known:      []wire.KnownDaemon{{Node: later.Node, DataCentre: later.DataCentre, Address: later.Address}},
	}
	f, err := wire.Encode(wire.Envelope{Type: wire.TypeHeartbeat}, &hb, o.MaxFrame)
	if err != nil {
		return
	}
	defer f.Release()
	if l.conn.SetDeadline(time.Now().Add(o.WriteTimeout)) != nil || l.writeFrame(l.conn, f) != nil {
		return
	}
	if closer, ok := l.conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, l.conn) // ends with the peer's close or at the deadline
	}
}

// sendHeartbeat queues the round's heartbeat for this peer. The heartbeat is short
// (wire.Heartbeat.Abbreviated) when nothing that Abbreviated covers has changed since the last full
// one. A frame that the queue dropped may have been that full heartbeat, so after a drop
// the next heartbeat is full and the gossip about other daemons starts from the
// beginning. The caller holds Service.mu.
func (l *link) sendHeartbeat(round members.Round, own wire.Heartbeat) {
	if l.frameDropped.Swap(false) {
		l.lastFullSent, l.gossipCursor = nil, 0
	}
	hb, cursor := round.HeartbeatFor(l.peer.DataCentre, l.gossipCursor)
	hb.BundleNumber, hb.BundleDigest = own.BundleNumber, own.BundleDigest
	hb.Draining, hb.Leaving = own.Draining, own.Leaving
	hb.Echo, l.pendingEcho = l.pendingEcho, 0
	l.sentSinceFull++
	if l.lastFullSent != nil && l.sentSinceFull < fullHeartbeatEvery && sameAnnouncement(l.lastFullSent, &hb) {
		hb = wire.Heartbeat{Seq: hb.Seq, Abbreviated: true, RequestEcho: hb.RequestEcho, Echo: hb.Echo, RelayedSeqs: hb.RelayedSeqs, Known: hb.Known}
	} else {
		full := hb
		l.lastFullSent, l.sentSinceFull = &full, 0
		hb.Node, hb.DataCentre, hb.Address = wire.NodeID{}, "", "" // known to the peer from the Hello
	}
	if l.send(wire.Envelope{Type: wire.TypeHeartbeat}, &hb) == nil {
		l.gossipCursor = cursor
	}
}

// sameAnnouncement reports whether two heartbeats agree in every field that a short
// heartbeat leaves out.
func sameAnnouncement(a, b *wire.Heartbeat) bool {
	return a.BundleNumber == b.BundleNumber && a.Draining == b.Draining &&
		bytes.Equal(a.BundleDigest, b.BundleDigest) && slices.Equal(a.Leaving, b.Leaving)
}

// expandHeartbeat fills in the fields that a short heartbeat leaves out. The identity
// is always that of the connection's Hello.
func (l *link) expandHeartbeat(hb wire.Heartbeat) wire.Heartbeat {
	if hb.Abbreviated {
		hb.BundleNumber, hb.BundleDigest = l.lastReceived.BundleNumber, l.lastReceived.BundleDigest
		hb.Draining, hb.Leaving = l.lastReceived.Draining, l.lastReceived.Leaving
	}
	hb.Abbreviated = false
	hb.Node, hb.DataCentre, hb.Address = l.peer.Node, l.peer.DataCentre, l.peer.Address
	l.lastReceived = hb
	return hb
}
