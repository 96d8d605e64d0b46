package frontend

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Limits of a Listener's connections.
const (
	listenerHeaderTimeout = 3 * time.Second
	listenerIdleTimeout   = 15 * time.Second
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and
	// the time between probes. A connection is closed after keepAliveCount
	// unanswered probes. Until then, the request of a caller that vanished without
	// closing its connection occupies an engine's slot.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// lastAnswersTimeout is the time in which the requests that remain when Run ends can write their
	// error responses. It is a part of the time that the router leaves between the drain's limit and the
	// end of the process.
	lastAnswersTimeout = 250 * time.Millisecond
)

// Listener serves an HTTP handler at one address. Drain lets requests in flight
// finish. It implements supervise.Service.
type Listener struct {
	o        ListenerOptions
	draining atomic.Bool

	mu     sync.Mutex // guards the fields below
	ln     net.Listener
	addr   net.Addr
	server *http.Server
	conns  *connLimiter
}

// ListenerOptions configure a Listener. Name, Address, MaxConns, Handler and Report are required.
type ListenerOptions struct {
	// Name is the listener's name in logs, and Address its host:port.
	Name, Address string
	// TLS, if not nil, makes the listener serve with TLS.
	TLS *tls.Config
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// Timeout, if not 0, is the time within which a request must arrive, and within which its response must be
	// accepted. Without it, the handler sets deadlines for bodies and responses.
	Timeout time.Duration
	// ReceiveBytes is the memory that the receive buffers of all connections may have together, if it suffices for
	// the smallest ones. 0 leaves them to the kernel.
	ReceiveBytes int64
	// Heads is the memory for the heads of requests; nil means no bound. Refuse answers the requests whose heads do
	// not fit; see HeadBudget.Handler for Keep. It is required with Heads.
	Heads  *HeadBudget
	Refuse http.Handler
	Keep   []string
	// Short says that all requests are short: at the bound, a new connection takes the place of any
	// connection whose request is unfinished, however new. As many as MaxConns may wait for a place, and no more are
	// accepted while they do, so that those that follow wait in the kernel.
	Short   bool
	Handler http.Handler
	// Report reports the connections and requests that a limit ended.
	Report *LimitReporter
}

// NewListener returns a Listener that is not yet listening.
func NewListener(o ListenerOptions) *Listener { return &Listener{o: o} }

// Name implements supervise.Service.
func (l *Listener) Name() string { return l.o.Name }

// Draining reports whether Drain has been called.
func (l *Listener) Draining() bool { return l.draining.Load() }

// Addr returns the address that Listen bound, or nil before Listen.
func (l *Listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Listen binds the address. It is separate from Run so that the daemon fails at its
// start if the address is in use.
func (l *Listener) Listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	address := l.o.Address
	if l.addr != nil {
		address = l.addr.String() // a restart keeps the port
	}
	cfg := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	if size := l.receiveBytes(); size > 0 {
		cfg.Control = withReceiveBuffer(size)
	}
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", l.o.Name)
	}
	l.ln, l.addr = ln, ln.Addr()
	return nil
}

// receiveBytes returns the size of each connection's receive buffer; 0 means that the kernel chooses it.
func (l *Listener) receiveBytes() int {
	if l.o.ReceiveBytes == 0 {
		return 0
	}
	return receiveBytes(l.o.ReceiveBytes, l.o.MaxConns)
}

// Run serves until ctx ends. After Drain has been called, it serves nothing more
// and waits for ctx.
func (l *Listener) Run(ctx context.Context) error {
	if l.draining.Load() {
		<-ctx.Done()
		return nil
	}
	if err := l.Listen(); err != nil {
		return err
	}
	server, conns := l.start()
	done := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer close(conns.stopped)
		done <- serve(server, conns)
	})
	select {
	case <-ctx.Done():
		stopServer(server, lastAnswersTimeout)
		return nil
	case err := <-done:
		if l.draining.Load() {
			<-ctx.Done()
			stopServer(server, lastAnswersTimeout)
			return nil
		}
		_ = server.Close()
		return errors.Wrapf(err, "serve %s", l.o.Name)
	}
}

// start creates the server and takes the bound listener out of l. A restarted Run
// binds a new one.
func (l *Listener) start() (*http.Server, *connLimiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = newConnLimiter(l.ln, l.o.MaxConns, l.o.Report)
	l.conns.usesTLS = l.o.TLS != nil
	l.conns.heads, l.conns.receiveBytes = l.o.Heads, l.receiveBytes()
	handler := handleSentAhead(l.o.Heads.Handler(l.o.Handler, l.o.Refuse, l.o.Keep...))
	if l.o.Short {
		l.conns.stallTimeout, l.conns.maxWaiting, l.conns.roomTimeout = 0, l.o.MaxConns, defaultPlaceTimeout
		handler = closeUnfinished(handler)
	}
	l.ln = nil
	l.server = &http.Server{
		Handler:           handler,
		TLSConfig:         l.o.TLS,
		ReadHeaderTimeout: listenerHeaderTimeout,
		ReadTimeout:       l.o.Timeout,
		WriteTimeout:      l.o.Timeout,
		IdleTimeout:       listenerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.conns.onState,
		ConnContext:       withConn,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // the server's messages may contain data sent by callers
	}
	return l.server, l.conns
}

// Drain keeps serving for the duration notice, in which load balancers detect that
// the instance is not ready. It then closes the listener and waits for the
// requests in flight until ctx ends. The handler must send Connection: close while
// Draining is true, so that few connections are idle when the listener closes.
func (l *Listener) Drain(ctx context.Context, notice time.Duration) error {
	l.draining.Store(true)
	clock.Sleep(ctx, notice)
	l.mu.Lock()
	conns := l.conns
	l.mu.Unlock()
	if conns == nil {
		return nil
	}
	return errors.Wrapf(conns.drain(ctx), "drain %s", l.o.Name)
}
