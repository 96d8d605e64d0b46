// Package peer connects daemons to each other over TCP. A Service keeps one
// connection (a link) to each neighbour in the heartbeat graph, updates the
// members.Table from heartbeats and a ticker, and carries one-way messages and calls
// for other packages.
//
// Lock order: Service.mu before link.mu. Hooks and handlers run without locks.
package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// The defaults of Options.
const (
	DefaultQueueLimit   = 256
	DefaultMaxCalls     = 64
	DefaultMaxForwards  = 256
	DefaultMaxInbound   = 1024
	DefaultDialTimeout  = time.Second
	DefaultWriteTimeout = time.Second
	DefaultCallTimeout  = 2 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	// DefaultForwardTimeout is longer than any request deadline that clients are
	// likely to be allowed, so that the request's own deadline applies.
	DefaultForwardTimeout = time.Hour
)

const (
	// backoffMin and backoffMax limit the backoff between attempts to dial an address.
	backoffMin = 50 * time.Millisecond
	backoffMax = 5 * time.Second
	// fullHeartbeatEvery is the largest number of heartbeats from one full heartbeat
	// to the next when nothing changes.
	fullHeartbeatEvery = 40
)

// Options configures a Service. A limit or timeout of zero takes its default.
type Options struct {
	// Members holds this daemon's identity and the limits of failure detection. An
	// empty Address is set to that of the listener.
	Members members.Config
	// Listen is the address to listen on, host:port.
	Listen string
	// Listener is used in place of Listen when set. The service closes it. When Run
	// is called again, it opens a new listener on the same address.
	Listener net.Listener
	// TLS, when set, enables mutual TLS on every connection.
	TLS *tls.Config
	// Seeds returns addresses at which daemons may listen, such as those from the
	// settings and from the platform's list of instances. Whether an address is
	// listed does not affect failure detection. It must not block.
	Seeds func() []string
	// IsBlocked reports whether to close connections to a daemon's address and open no
	// new ones. It is for tests of network partitions only.
	IsBlocked func(address string) bool
	// OnEvent is called for every membership event. It must not block.
	OnEvent func(members.Change)
	// Logger is required.
	Logger log.Interface
	// Rand is the source of the jitter in reconnect delays. It must not be used
	// elsewhere. Required.
	Rand *rand.Rand

	// QueueLimit limits the frames that wait to be written on one connection.
	QueueLimit int
	// MaxCalls limits the concurrent calls on one connection in each direction,
	// without those of type wire.TypeForward.
	MaxCalls int
	// MaxForwards limits the concurrent calls of type wire.TypeForward, which last as
	// long as client requests.
	MaxForwards int
	// MaxInbound limits the accepted connections that are open, and so do two fifths of the descriptors that the
	// process may open.
	MaxInbound int
	// MaxFrame limits the size of a frame, in bytes.
	MaxFrame int
	// DialTimeout limits the TCP connect and, separately, the handshake.
	DialTimeout time.Duration
	// ReadTimeout ends a connection on which nothing arrives for this long; peers
	// send heartbeats continuously. The default is Members.RemoteDeadAfter.
	ReadTimeout time.Duration
	// WriteTimeout ends a connection on which a write takes this long because the
	// peer does not read.
	WriteTimeout time.Duration
	// CallTimeout limits an outgoing call whose context has no earlier deadline, and
	// the handler of an incoming call.
	CallTimeout time.Duration
	// ForwardTimeout replaces CallTimeout for wire.TypeForward, whose calls last as
	// long as the client requests that they carry.
	ForwardTimeout time.Duration
	// IdleTimeout is the time without calls after which a link to a daemon that is not
	// a neighbour is closed.
	IdleTimeout time.Duration
}

// Handler answers a call or processes a one-way message. Handlers of calls run
// concurrently, each on its own goroutine. Handlers of one-way messages run in order
// on the connection's reading goroutine and must not block. The body is valid until
// the handler returns.
type Handler func(ctx context.Context, from wire.NodeID, body []byte) (any, error)

// withDefaults returns o with defaults for fields that are not set.
func (o Options) withDefaults(farDeadAfter time.Duration) Options {
	setDefault(&o.QueueLimit, DefaultQueueLimit)
	setDefault(&o.MaxCalls, DefaultMaxCalls)
	setDefault(&o.MaxForwards, DefaultMaxForwards)
	setDefault(&o.MaxInbound, DefaultMaxInbound)
	setDefault(&o.MaxFrame, wire.MaxFrame)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.ReadTimeout, farDeadAfter)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	if o.Seeds == nil {
		o.Seeds = func() []string { return nil }
	}
	if o.IsBlocked == nil {
		o.IsBlocked = func(string) bool { return false }
	}
	if o.OnEvent == nil {
		o.OnEvent = func(members.Change) {}
	}
	if o.TLS != nil {
		o.TLS = withMutualTLS(o.TLS)
	}
	return o
}

// callTimeout returns the timeout of a call of type t.
func (o *Options) callTimeout(t wire.Type) time.Duration {
	if t == wire.TypeForward {
		return o.ForwardTimeout
	}
	return o.CallTimeout
}

// withMutualTLS returns a copy of c that requires and verifies client certificates.
// They are verified against RootCAs when ClientCAs is not set.
func withMutualTLS(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}
	return c
}

// setDefault sets *v to d unless it is positive.
func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
