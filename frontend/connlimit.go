package frontend

import (
	"container/list"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultPlaceTimeout is the time that a new connection waits at the bound for an open one to become
	// idle. A caller can have read its answer before the server takes the connection for idle.
	defaultPlaceTimeout = 250 * time.Millisecond
	// defaultStallTimeout is the time after which a connection whose request is not whole gives its place to a
	// new one. A caller sends a whole request at once, but packets are sent again after some 200 ms.
	defaultStallTimeout = 250 * time.Millisecond
	// servedPerWaiting is the number of connections that are served for each one that may wait.
	servedPerWaiting = 32
	// defaultLingerTimeout is the time that a connection is idle before a draining server closes it. A caller
	// that has not been told may send its next request as soon as it has read an answer.
	defaultLingerTimeout = 200 * time.Millisecond
	// quietInterval is the time between two looks of a draining server for such connections.
	quietInterval = defaultLingerTimeout / 4
	// unusedTimeout is the time that a draining server waits for the first byte of a new connection.
	unusedTimeout = time.Second
)

// connLimiter is a listener that bounds the number of open connections. At the bound, a new
// connection takes the place of the one whose last response was written first, or else of the one that has been
// idle for longest, or else of the one whose caller has left a request unfinished for longest, stallTimeout at
// least. If there is none, the new one waits unread for up to placeTimeout and is then closed; if as many wait
// as may, it is closed at once.
//
// If new connections waited in the kernel's accept queue instead, their callers would time out with
// requests that nobody has read, when they could have asked another daemon.
//
// A connection is idle only while the server waits for the first byte of its next request. net/http
// takes one for idle until it has read the whole header; if it were closed until then, the request
// would run without a connection for its answer.
type connLimiter struct {
	net.Listener
	maxServed, maxWaiting int
	placeTimeout          time.Duration // the time that a connection waits for a place
	roomTimeout           time.Duration // see roomWait
	stallTimeout          time.Duration // the time for which a request may be unfinished when places are lacking
	lingerTimeout         time.Duration // the time that a connection is idle before a draining server closes it
	// usesTLS says that the reads of a connection do not tell which part of a request they are for.
	usesTLS bool
	heads   *HeadBudget // nil means no bound
	// receiveBytes is the size of a connection's receive buffer; 0 means that the kernel chooses it.
	receiveBytes int
	report       *LimitReporter

	mu      sync.Mutex // guards the fields below and those of the connections
	served  map[*limitedConn]bool
	ending  *list.List    // of *limitedConn, served, whose last responses have been written, the first one in front
	idle    *list.List    // of *limitedConn, served, the one that has been idle for longest first
	stalled *list.List    // of *limitedConn, served, whose requests are unfinished, the one that began first in front
	waiting *list.List    // of *limitedConn, not served, the one that has waited for longest first
	drained chan struct{} // closed when a draining server has no connection; nil before drain

	room    chan struct{} // receives when a new connection may be admitted; see noteRoom
	stopped chan struct{} // to be closed when the server accepts no more connections
}

// newConnLimiter returns a listener that bounds the connections of ln to limit, of which a few wait.
// With a limit below servedPerWaiting one more can be open.
func newConnLimiter(ln net.Listener, limit int, report *LimitReporter) *connLimiter {
	return &connLimiter{
		Listener: ln, maxServed: limit - limit/servedPerWaiting, maxWaiting: max(1, limit/servedPerWaiting),
		placeTimeout: defaultPlaceTimeout, stallTimeout: defaultStallTimeout, lingerTimeout: defaultLingerTimeout, report: report,
		served: map[*limitedConn]bool{}, ending: list.New(), idle: list.New(), stalled: list.New(), waiting: list.New(),
		room: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// limitedConn is a connection of a connLimiter, which guards its fields.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
	place   chan struct{} // closed when the connection is served

	state      http.ConnState
	isHTTP2    bool // known when the state is not new any more
	reading    bool // a Read is in progress
	quiet      bool // the server waits for the first byte of a request, since quietSince
	quietSince time.Time
	begun      bool          // bytes of a request have been read, and the server has not its whole header
	onTime     bool          // the first byte of the request that has begun came after the response to the one before
	sentAhead  bool          // that of the latest request that was handled came earlier
	closed     bool          // closed by the limiter; what it receives is not read
	ending     *list.Element // in the limiter's list; nil if its last response has not been written
	idle       *list.Element // in the limiter's list; nil if not idle
	stalled    *list.Element // in the limiter's list; nil if the server waits for no part of a request
	began      time.Time     // of the request that is unfinished, or of a connection without one
	head       headSize      // of the request whose header is not whole
	lease      headLease     // for that head
	refused    atomic.Bool   // a request was refused whose header is not whole
}

// takeForNew takes the place of a connection that gives it to a new one. It returns nil if there is none. l.mu
// must be held.
func (l *connLimiter) takeForNew() *limitedConn {
	if c := l.takeLongestEnding(); c != nil {
		return c
	}
	if c := l.takeLongestIdle(); c != nil {
		return c
	}
	return l.takeLongestStalled(time.Now())
}

// takeLongestStalled takes the place of the connection whose request has been unfinished for longest. None of
// these requests has been passed on. It returns nil if none has been for stallTimeout. l.mu must be held.
func (l *connLimiter) takeLongestStalled(now time.Time) *limitedConn {
	for e := l.stalled.Front(); e != nil; e = e.Next() {
		c := e.Value.(*limitedConn)
		if now.Sub(c.began) < l.stallTimeout {
			return nil
		}
		if c.reading && !hasUnread(c.Conn) {
			l.take(c)
			l.report.Report(LimitStalled)
			return c
		}
	}
	return nil
}

// takeLongestIdle takes the place of the connection that has been idle for longest. It returns nil if
// none is idle. l.mu must be held.
func (l *connLimiter) takeLongestIdle() *limitedConn {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*limitedConn); !hasUnread(c.Conn) {
			l.take(c)
			return c
		}
	}
	return nil
}

// take takes the place of a connection whose server waits for a request or a part of one. What it receives from
// now on does not reach the server. l.mu must be held.
func (l *connLimiter) take(c *limitedConn) {
	c.closed = true
	if c.ending != nil {
		l.ending.Remove(c.ending)
		c.ending = nil
	}
	l.setIdle(c, false)
	l.endStall(c)
	c.lease.release()
	delete(l.served, c)
}

// serve gives a connection a place; l.mu must be held.
func (l *connLimiter) serve(c *limitedConn) {
	l.served[c] = true
	l.beginStall(c)
	close(c.place)
}

// beginStall notes that the server waits for a request or a part of one, unless it does already; l.mu must be held.
func (l *connLimiter) beginStall(c *limitedConn) {
	if c.stalled == nil {
		c.began = time.Now()
		c.stalled = l.stalled.PushBack(c)
	}
}

// endStall notes that a request is whole, or that there is none; l.mu must be held.
func (l *connLimiter) endStall(c *limitedConn) {
	if c.stalled != nil {
		l.stalled.Remove(c.stalled)
		c.stalled = nil
	}
}

// remove forgets a connection that the server has closed, and gives its place to one that waits;
// l.mu must be held.
func (l *connLimiter) remove(c *limitedConn) {
	l.stopWaiting(c)
	l.take(c)
	for e := l.waiting.Front(); e != nil && len(l.served) < l.maxServed; e = l.waiting.Front() {
		l.serve(l.waiting.Remove(e).(*limitedConn))
	}
	l.noteRoom()
	l.reportDrained()
}

// stopWaiting reports whether a connection was waiting for a place, and takes it out of the list;
// l.mu must be held.
func (l *connLimiter) stopWaiting(c *limitedConn) bool {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if e.Value == c {
			l.waiting.Remove(e)
			l.noteRoom()
			return true
		}
	}
	return false
}

// setIdle adds a connection to the idle ones or takes it out; l.mu must be held.
func (l *connLimiter) setIdle(c *limitedConn, idle bool) {
	switch {
	case idle && c.idle == nil:
		c.idle = l.idle.PushBack(c)
	case !idle && c.idle != nil:
		l.idle.Remove(c.idle)
		c.idle = nil
	}
}

// onState is the server's ConnState hook.
func (l *connLimiter) onState(conn net.Conn, state http.ConnState) {
	secure, usesTLS := conn.(*tls.Conn)
	if usesTLS {
		conn = secure.NetConn()
	}
	c := conn.(*limitedConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if usesTLS && c.state == http.StateNew && state == http.StateActive {
		c.isHTTP2 = secure.ConnectionState().NegotiatedProtocol == "h2"
	}
	c.state = state
	switch state {
	case http.StateActive:
		c.sentAhead = !c.onTime
		c.begun, c.onTime = false, false
		c.head = headSize{}
		c.lease.release() // the handler takes its own
		l.setIdle(c, false)
		if l.usesTLS {
			l.endStall(c)
		}
	case http.StateIdle:
		l.endStall(c)
		if c.begun {
			l.beginStall(c)
		}
		l.setIdle(c, c.reading && !c.closed) // only with HTTP/2 the next read has begun already
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

// Read implements net.Conn. It fails if the connection gets no place or has been closed to make room.
func (c *limitedConn) Read(p []byte) (int, error) {
	if !c.awaitPlace() {
		return 0, net.ErrClosed
	}
	quiet, ok := c.beginRead(len(p))
	if !ok {
		return 0, net.ErrClosed
	}
	if quiet {
		if err := awaitUnread(c.Conn); err != nil {
			return 0, err
		}
		if !c.endQuiet() {
			return 0, net.ErrClosed
		}
	}
	n, err := c.Conn.Read(p)
	switch c.endRead(p[:n], len(p)) {
	case readClosed:
		return 0, net.ErrClosed
	case readRefused:
		c.refuse()
		return 0, io.EOF // net/http then writes nothing
	default:
		return n, err
	}
}

// beginRead notes that the server waits for bytes. quiet is true if these are the first ones of a
// request, which must not be read before endQuiet has noted them. beginRead returns false if an
// idle connection is to be closed because another connection waits for a place. size is that of the buffer.
func (c *limitedConn) beginRead(size int) (quiet, ok bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false, false
	}
	quiet = c.state != http.StateActive && !c.begun
	if quiet && c.state == http.StateIdle && l.waiting.Len() > 0 && !hasUnread(c.Conn) {
		return false, false
	}
	c.quiet, c.quietSince = quiet, time.Now()
	l.setIdle(c, quiet && c.state == http.StateIdle)
	if c.state == http.StateActive && !l.usesTLS {
		l.noteBodyRead(c, size)
	}
	c.reading = true
	l.noteRoom() // the request may be unfinished
	return quiet, true
}

// noteBodyRead notes whether a read is for the body of the request that is served; l.mu must be held. When that
// is whole, net/http reads one byte, to notice that the caller has gone.
func (l *connLimiter) noteBodyRead(c *limitedConn, size int) {
	if size == 1 {
		l.endStall(c)
		return
	}
	l.beginStall(c)
}

// endQuiet notes that a request has begun to arrive, or that the caller has gone. It returns false if
// the limiter has closed the connection before.
func (c *limitedConn) endQuiet() bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.quiet = false
	l.setIdle(c, false)
	return !c.closed
}

// readResult is what becomes of bytes that were read.
type readResult int

const (
	readPassed  readResult = iota // they reach the server
	readClosed                    // the limiter has closed the connection
	readRefused                   // they belong to a head that does not fit into the budget
)

// endRead notes that p was read into a buffer of a size.
func (c *limitedConn) endRead(p []byte, size int) readResult {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = false
	if c.closed {
		return readClosed
	}
	l.setIdle(c, false)
	// While a request is served, net/http reads one byte to notice that the caller has gone. If it gets
	// one, the next request has begun.
	if len(p) > 0 && (c.state != http.StateActive || size == 1) {
		c.onTime = c.onTime || !c.begun && c.state != http.StateActive
		c.begun = true
	}
	if !c.begun || c.state == http.StateActive {
		return readPassed
	}
	l.beginStall(c)
	if !c.extendHead(p) {
		return readRefused
	}
	return readPassed
}

// extendHead counts bytes of a head. It returns false if the head does not fit into the budget.
func (c *limitedConn) extendHead(p []byte) bool {
	switch {
	case c.isHTTP2:
		return true // the library bounds the heads
	case c.limiter.usesTLS:
		c.head.addEncrypted(len(p)) // the first one with the handshake
	default:
		c.head.add(p)
	}
	return c.lease.extend(c.head.excess())
}
