package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the transport. A decode engine runs about 20 requests at a time, so 256
// connections per host leave enough for cancels while all streams are open.
const (
	dialTimeout         = 500 * time.Millisecond
	keepAlive           = 15 * time.Second
	keepAliveProbes     = 3
	idleTimeout         = 90 * time.Second
	maxConnsPerHost     = 256
	maxIdleConnsPerHost = 32
	maxIdleConns        = 8192
	maxHeaderBytes      = 64 << 10
	writeBufferBytes    = 16 << 10
)

// NewHTTPClient returns an HTTP client for Engines and Services. It uses HTTP/1.1 with
// keep-alive, limits the number of connections to each upstream, and counts the writes on
// each connection. It follows no redirects and uses neither a proxy nor compression.
func NewHTTPClient() *http.Client {
	return NewHTTPClientWith(TransportConfig{Dial: dialTimeout, KeepAlive: keepAlive, Probes: keepAliveProbes, Idle: idleTimeout, PerHost: maxConnsPerHost, IdlePerHost: maxIdleConnsPerHost})
}

// TransportConfig has the settings of an HTTP client that depend on the network between the
// daemon and its upstreams.
type TransportConfig struct {
	// Dial is the timeout for opening a connection. Idle is how long an unused connection is
	// kept open.
	Dial, Idle time.Duration
	// KeepAlive is the time without traffic after which a TCP keep-alive probe is sent, and
	// the time between two probes.
	KeepAlive time.Duration
	// Probes is the number of unacknowledged probes after which a connection is closed.
	Probes int
	// UserTimeout is how long sent data may stay unacknowledged before the connection is closed
	// (TCP_USER_TIMEOUT); 0 means the system's default. Keep-alive probes do not detect a
	// dead connection while sent data is unacknowledged.
	UserTimeout time.Duration
	// PerHost is the maximum number of connections to one address, and IdlePerHost that of
	// unused connections that are kept open.
	PerHost, IdlePerHost int
	// Connect opens connections; nil means TCP with the options above.
	Connect DialFunc
	// TellsEnd states that a read on Connect's connections meets an end only if the upstream has ended its side; see
	// KeepErrors.
	TellsEnd bool
	// NoReuse closes each connection after one request.
	NoReuse bool
	// OnDial, if not nil, is called with the result of each attempt to open a connection, OnRead
	// each time that bytes arrive on a connection, and OnWrite before bytes are sent. They may be
	// called concurrently.
	OnDial          func(address string, err error)
	OnRead, OnWrite func(address string)
}

// DialFunc opens a connection to an address, host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens TCP connections with the options of c.
func (c TransportConfig) Dialer() DialFunc {
	d := &net.Dialer{Timeout: c.Dial, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.KeepAlive, Interval: c.KeepAlive, Count: c.Probes}}
	if c.UserTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, c.UserTimeout) }
	}
	return d.DialContext
}

// observedDialer returns a function that opens connections, counts the writes on them, and
// reports to OnDial and OnRead.
func (c TransportConfig) observedDialer() DialFunc {
	connect := c.Connect
	if connect == nil {
		connect = c.Dialer()
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := connect(ctx, network, address)
		if c.OnDial != nil {
			c.OnDial(address, err)
		}
		if err != nil {
			return nil, &DialError{err}
		}
		if !c.TellsEnd {
			conn = KeepErrors(conn)
		}
		counting := &countingConn{Conn: conn}
		if c.OnRead != nil {
			counting.onRead = func() { c.OnRead(address) }
		}
		if c.OnWrite != nil {
			counting.onWrite = func() { c.OnWrite(address) }
		}
		return counting, nil
	}
}

// DialError means that a request was not sent because no connection could be opened.
type DialError struct{ cause error }

// Error implements error.
func (e *DialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// setUserTimeout sets the TCP_USER_TIMEOUT of a socket to d.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// NewHTTPClientWith returns a client like that of NewHTTPClient, with the settings cfg.
func NewHTTPClientWith(cfg TransportConfig) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	t := &http.Transport{
		DialContext:            cfg.observedDialer(),
		Protocols:              protocols,
		DisableCompression:     true,
		DisableKeepAlives:      cfg.NoReuse,
		MaxConnsPerHost:        cfg.PerHost,
		MaxIdleConnsPerHost:    cfg.IdlePerHost,
		MaxIdleConns:           maxIdleConns,
		IdleConnTimeout:        cfg.Idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
	}
	return &http.Client{Transport: newLimitedTransport(t), CheckRedirect: noRedirect}
}

// noRedirect makes the client return a redirect as the response. Following it would send
// the request a second time, to an address that is not in the configuration.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// countingConn counts the calls of Write. Each is counted before it starts, so an
// unchanged count proves that nothing was written.
type countingConn struct {
	net.Conn
	writes atomic.Int64
	calls  callIDs
	http10 http10Head
	// rejected is set when the connection is closed because a response on it was not the one to its request.
	rejected atomic.Bool
	// onRead is called when bytes arrive, onWrite before bytes are sent; both may be nil.
	onRead, onWrite func()
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.http10.add(p[:n])
	}
	if n > 0 && c.onRead != nil {
		c.onRead()
	}
	return n, err
}

// Write implements net.Conn. It counts nothing on a rejected connection.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.rejected.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	if c.onWrite != nil {
		c.onWrite()
	}
	return c.Conn.Write(p)
}

// reject closes a connection whose responses cannot be told apart. net/http may have kept it for the next request
// before, and notices the end only later.
func (c *countingConn) reject() {
	c.rejected.Store(true)
	_ = c.Close()
}

// connTracker records the connections on which net/http sent one request, to find out whether any
// byte of the request was written, and whether a response is the one to this request. There can be
// several: net/http uses a new connection if it could not write anything on the first.
type connTracker struct {
	identity Identity

	mu            sync.Mutex
	conns         []*countingConn
	initialWrites []int64 // for each of conns, its number of writes when the request got it
	uncounted     bool    // a connection of another transport was used, on which writes are not counted
	ambiguous     bool    // a call with the same id was sent on the latest connection before
	rejected      bool    // the latest connection had been rejected before
}

// withTrace returns a context with a hook that records the connections.
func (s *connTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

// gotConn is called by net/http for each connection that it uses for the request.
func (s *connTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*countingConn)
	if !ok {
		s.uncounted = true
		return
	}
	s.conns = append(s.conns, c)
	s.initialWrites = append(s.initialWrites, c.writes.Load())
	s.ambiguous = s.identity.ID != "" && c.calls.add(s.identity.ID)
	s.rejected = c.rejected.Load()
}

// verify returns an error unless resp is certain to be the response to this request. It then closes the
// connection: the responses that follow on it may belong to other requests as well.
func (s *connTracker) verify(resp *http.Response) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	matches := s.identity.matches(resp.Header)
	ambiguous := s.ambiguous && s.identity.NotRun != nil && s.identity.NotRun(resp)
	joined := isJoined(resp)
	if matches && !ambiguous && !joined {
		return nil
	}
	foreign := &ForeignResponseError{
		ID:     strings.Join(resp.Header.Values(s.identity.Header), ", "),
		Status: resp.StatusCode, Ambiguous: matches && !joined, Joined: joined,
	}
	_ = resp.Body.Close() // leaves the connection open if there is no body
	if n := len(s.conns); n > 0 {
		conn := s.conns[n-1]
		foreign.Connection, foreign.Reused = conn.LocalAddr().String(), s.initialWrites[n-1] > 0
		conn.reject()
	}
	return foreign
}

// nothingWritten reports whether it is certain that no byte of the request left this process. It
// must be called only after the round trip failed, or met a rejected connection: net/http has then stopped
// writing on the connection, or can't, so the count cannot change any more.
func (s *connTracker) nothingWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uncounted {
		return false
	}
	for i, c := range s.conns {
		if c.writes.Load() != s.initialWrites[i] {
			return false
		}
	}
	return true
}

// metRejected reports whether net/http had kept a rejected connection for the request. Nothing of the request was
// written on it, whatever response was read there.
func (s *connTracker) metRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// result returns the response to the tracked request, or a *CallError.
func (s *connTracker) result(resp *http.Response, err error) (*http.Response, error) {
	if err == nil {
		if err = s.verify(resp); err == nil {
			return resp, nil
		}
		return nil, &CallError{Delivery: Maybe, cause: err}
	}
	d := Maybe
	if !isMalformed(err) && s.nothingWritten() { // a malformed response may come before the request is written
		d = NotSent
	}
	return nil, &CallError{Delivery: d, Withheld: IsWithheld(err), cause: err}
}

// noReplayBody is a request body that net/http cannot rewind.
//
// If a keep-alive connection turns out to be closed, net/http sends a request again by
// itself if it is "replayable". Requests with a safe method such as GET are replayable,
// and so are requests with an Idempotency-Key or X-Idempotency-Key header whose body is
// absent or can be rewound with GetBody. The upstream may already have run the first copy,
// and this process would not notice that the request was sent twice. net/http does not
// replay a request whose body is neither nil nor http.NoBody and that has no GetBody. A
// noReplayBody meets this even if it is empty.
type noReplayBody struct {
	io.Reader
	data []byte // all of it
}

// Close implements io.Closer.
func (noReplayBody) Close() error { return nil }

// disableReplay sets the body of req so that net/http cannot replay the request.
func disableReplay(req *http.Request, body []byte) {
	req.Body = noReplayBody{bytes.NewReader(body), body}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
}

// rewind makes the body of a request be read from its beginning again. It returns false if it can't.
func rewind(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	body, ok := req.Body.(noReplayBody)
	if ok {
		disableReplay(req, body.data)
	}
	return ok
}
