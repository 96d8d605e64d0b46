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

// Why a connection ended.
var (
	errStopped    = errors.New("service stopped")
	errBlocked    = errors.New("link is blocked")
	errIdle       = errors.New("connection was idle")
	errSelf       = errors.New("peer has this daemon's own name")
	errSuperseded = errors.New("peer has a later incarnation")
	errDuplicate  = errors.New("another connection is the link to the peer")
	errHandshake  = errors.New("first frame is not a hello")
)

// link is one connection to one life of a peer.
type link struct {
	s       *Service
	conn    net.Conn
	dialled bool
	reader  *wire.Reader
	peer    wire.Hello // set by handshake
	out     *queue
	done    chan struct{}
	once    sync.Once
	cause   atomic.Pointer[error]
	used    atomic.Int64         // time of the last call, in nanoseconds since the epoch
	lost    atomic.Bool          // a frame was dropped; the next heartbeat must be full
	serving [lanes]chan struct{} // slots of inbound calls

	// Guarded by Service.mu.
	told      members.Cursor
	last      *wire.Heartbeat // the last full heartbeat sent
	sinceFull int
	echo      uint64

	// Owned by the reader.
	heard wire.Heartbeat // the last heartbeat heard in full

	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]chan reply
	made   [lanes]int                    // calls in progress that this daemon made
	served map[uint64]context.CancelFunc // calls that the peer made and that run
}

// reply is how a call ended: a copy of the body, or an error.
type reply struct {
	body []byte
	err  error
}

func newLink(s *Service, c net.Conn, dialled bool) *link {
	l := &link{
		s: s, conn: c, dialled: dialled,
		reader: wire.NewReader(c, s.opts.MaxFrame),
		out:    newQueue(s.opts.Queue),
		done:   make(chan struct{}),
		serving: [lanes]chan struct{}{
			laneCalls:    make(chan struct{}, s.opts.MaxCalls),
			laneForwards: make(chan struct{}, s.opts.MaxForwards),
		},
		calls:  map[uint64]chan reply{},
		served: map[uint64]context.CancelFunc{},
	}
	l.touch()
	return l
}

func (l *link) touch()              { l.used.Store(time.Now().UnixNano()) }
func (l *link) lastUsed() time.Time { return time.Unix(0, l.used.Load()) }

// close ends the connection for a reason; later reasons are ignored.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.cause.Store(&cause)
		close(l.done)
		rawConn(l.conn).Close()
		l.out.close()
	})
}

// rawConn returns the TCP connection below TLS: closing a tls.Conn first tries
// to write an alert, which takes seconds when the peer does not read.
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
	if err := l.write(l.conn, f); err != nil {
		return err
	}
	env, n, err := l.reader.Read()
	if err != nil {
		return err
	}
	l.countIn(n)
	if env.Type != wire.TypeHello {
		return errHandshake
	}
	if err := wire.Decode(env.Body, &l.peer); err != nil {
		return err
	}
	if l.peer.Node.Instance == "" || l.peer.Node.Incarnation == 0 {
		return errHandshake
	}
	l.heard = wire.Heartbeat{Node: l.peer.Node, DataCentre: l.peer.DataCentre, Address: l.peer.Address}
	return l.conn.SetDeadline(time.Time{})
}

// serve reads and writes until the connection ends.
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
	var fault *wire.Fault
	if errors.As(err, &fault) {
		l.s.count.faults.Add(1)
	}
	l.s.opts.Logger.WithError(*l.cause.Load()).WithField("instance", l.peer.Node.Instance).Info("peer connection ended")
}

// writeLoop writes what is queued; a peer that does not read for WriteTimeout
// loses the connection.
func (l *link) writeLoop() {
	w := bufio.NewWriter(l.conn)
	var batch []item
	for {
		select {
		case <-l.done:
			return
		case <-l.out.ready:
		}
		batch = l.out.take(batch[:0])
		if err := l.writeBatch(w, batch); err != nil {
			l.close(errors.Wrap(err, "write"))
			return
		}
		l.out.written()
	}
}

func (l *link) writeBatch(w *bufio.Writer, batch []item) (err error) {
	for _, it := range batch {
		if err == nil {
			err = l.conn.SetWriteDeadline(time.Now().Add(l.s.opts.WriteTimeout))
		}
		if err == nil {
			err = l.write(w, it.frame)
		}
		it.frame.Release()
	}
	if err != nil {
		return err
	}
	return w.Flush()
}

func (l *link) write(w interface{ Write([]byte) (int, error) }, f *wire.Frame) error {
	n, err := w.Write(f.Bytes())
	l.s.count.framesOut.Add(1)
	l.s.count.bytesOut.Add(uint64(n))
	return err
}

func (l *link) countIn(n int) {
	l.s.count.framesIn.Add(1)
	l.s.count.bytesIn.Add(uint64(n))
}

// send queues one message; it reports whether the message was taken.
func (l *link) send(e wire.Envelope, msg any) error {
	f, err := wire.Encode(e, msg, l.s.opts.MaxFrame)
	if err != nil {
		return err
	}
	ok, dropped := l.out.push(item{frame: f, oneWay: e.ID == 0})
	if dropped {
		l.s.count.dropped.Add(1)
		l.lost.Store(true)
	}
	if !ok {
		return errors.New("send queue is full")
	}
	return nil
}

// tellSuperseded tells the peer, in one heartbeat before the connection is
// closed, that a later incarnation of its instance lives. It waits until the
// peer has closed its side: what the peer sent meanwhile would otherwise make
// the close a reset, which takes the heartbeat away from the peer unread.
func (l *link) tellSuperseded() {
	o := &l.s.opts
	later, ok := l.s.View().Member(l.peer.Node.Instance)
	if !ok {
		return
	}
	hb := wire.Heartbeat{
		Node:       o.Members.Node,
		DataCentre: o.Members.DataCentre,
		Address:    o.Members.Address,
		Known:      []wire.Known{{Node: later.Node, DataCentre: later.DataCentre, Address: later.Address}},
	}
	f, err := wire.Encode(wire.Envelope{Type: wire.TypeHeartbeat}, &hb, o.MaxFrame)
	if err != nil {
		return
	}
	defer f.Release()
	if l.conn.SetDeadline(time.Now().Add(o.WriteTimeout)) != nil || l.write(l.conn, f) != nil {
		return
	}
	if half, ok := l.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, l.conn) // ends with the peer's close or at the deadline
	}
}

// beat sends the round's heartbeat, short when nothing but the sequence number
// changed. The caller holds Service.mu. A dropped frame may have been the one
// that later short ones rely on, so the next is full and gossip starts again.
func (l *link) beat(round members.Round, own wire.Heartbeat) {
	if l.lost.Swap(false) {
		l.last, l.told = nil, 0
	}
	hb, told := round.To(l.peer.DataCentre, l.told)
	hb.BundleNumber, hb.BundleDigest = own.BundleNumber, own.BundleDigest
	hb.Draining, hb.Leaving = own.Draining, own.Leaving
	hb.Echo, l.echo = l.echo, 0
	l.sinceFull++
	if l.last != nil && l.sinceFull < fullEvery && sameState(l.last, &hb) {
		hb = wire.Heartbeat{Seq: hb.Seq, Same: true, Ask: hb.Ask, Echo: hb.Echo, Fresh: hb.Fresh, Known: hb.Known}
	} else {
		full := hb
		l.last, l.sinceFull = &full, 0
		hb.Node, hb.DataCentre, hb.Address = wire.NodeID{}, "", "" // the Hello has named them
	}
	if l.send(wire.Envelope{Type: wire.TypeHeartbeat}, &hb) == nil {
		l.told = told
	}
}

// sameState reports whether two heartbeats differ in nothing that Same covers.
func sameState(a, b *wire.Heartbeat) bool {
	return a.BundleNumber == b.BundleNumber && a.Draining == b.Draining &&
		bytes.Equal(a.BundleDigest, b.BundleDigest) && slices.Equal(a.Leaving, b.Leaving)
}

// expand fills in what a short heartbeat leaves out. The identity is always
// that of the connection's Hello.
func (l *link) expand(hb wire.Heartbeat) wire.Heartbeat {
	if hb.Same {
		hb.BundleNumber, hb.BundleDigest = l.heard.BundleNumber, l.heard.BundleDigest
		hb.Draining, hb.Leaving = l.heard.Draining, l.heard.Leaving
	}
	hb.Same = false
	hb.Node, hb.DataCentre, hb.Address = l.peer.Node, l.peer.DataCentre, l.peer.Address
	l.heard = hb
	return hb
}
