// Package peer connects the daemons. A Service keeps one connection to each
// neighbour, drives the members.Table with heartbeats and a ticker, and carries
// the other packages' one-way messages and calls.
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
	DefaultQueue       = 256
	DefaultMaxCalls    = 64
	DefaultMaxForwards = 256
	DefaultMaxInbound  = 1024
	DefaultDialTimeout = time.Second
	DefaultIOTimeout   = time.Second
	DefaultCallTimeout = 2 * time.Second
	DefaultIdleAfter   = 30 * time.Second
	// DefaultForwardTimeout is longer than any deadline that callers are likely to
	// be allowed; the request's own deadline comes first.
	DefaultForwardTimeout = time.Hour
)

const (
	backoffMin = 50 * time.Millisecond
	backoffMax = 5 * time.Second
	// fullEvery is the number of heartbeats after which one is sent in full even
	// when nothing changed.
	fullEvery = 40
)

// Options configure a Service. A zero limit takes its default.
type Options struct {
	// Members holds this daemon's identity; an empty Address becomes that of the listener.
	Members members.Config
	// Listen is the address to listen on, host:port.
	Listen string
	// Listener is used in place of Listen when set. The service closes it; a
	// restarted Run listens on its address again.
	Listener net.Listener
	// TLS, when set, makes every connection mutual TLS with this configuration.
	TLS *tls.Config
	// Seeds returns addresses where daemons may listen, such as those of the
	// settings and the platform's list; it must not block. Being listed proves
	// neither life nor death.
	Seeds func() []string
	// Block, when it returns true for a daemon's address, cuts the link to it;
	// for tests of cut networks only.
	Block func(address string) bool
	// OnEvent is told of every change of membership; it must not block.
	OnEvent func(members.Action)
	// Logger is required.
	Logger log.Interface
	// Rand jitters reconnects; the service takes it over. Required.
	Rand *rand.Rand

	// Queue bounds the frames that wait for one connection.
	Queue int
	// MaxCalls bounds the calls in progress on one connection, in each direction.
	MaxCalls int
	// MaxForwards bounds those of wire.TypeForward, which last long, beside the others.
	MaxForwards int
	// MaxInbound bounds the accepted connections.
	MaxInbound int
	// MaxFrame bounds a frame, in bytes.
	MaxFrame int
	// DialTimeout bounds connecting, and the handshake again.
	DialTimeout time.Duration
	// ReadTimeout ends a connection on which nothing arrives; peers heartbeat all
	// the time. The default is Members.FarDeadAfter.
	ReadTimeout time.Duration
	// WriteTimeout ends a connection whose peer does not read.
	WriteTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline, and a handler.
	CallTimeout time.Duration
	// ForwardTimeout is CallTimeout for wire.TypeForward, whose calls last as long
	// as the callers' requests that they carry.
	ForwardTimeout time.Duration
	// IdleAfter closes a connection that is not to a neighbour and carries no calls.
	IdleAfter time.Duration
}

// Handler answers a call, or takes a one-way message. Handlers of calls run
// concurrently, each on its own goroutine; those of one-way messages run on the
// connection's reader, in order, and must not block. body is valid until return.
type Handler func(ctx context.Context, from wire.NodeID, body []byte) (any, error)

func (o Options) withDefaults(farDeadAfter time.Duration) Options {
	setDefault(&o.Queue, DefaultQueue)
	setDefault(&o.MaxCalls, DefaultMaxCalls)
	setDefault(&o.MaxForwards, DefaultMaxForwards)
	setDefault(&o.MaxInbound, DefaultMaxInbound)
	setDefault(&o.MaxFrame, wire.MaxFrame)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.ReadTimeout, farDeadAfter)
	setDefault(&o.WriteTimeout, DefaultIOTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&o.IdleAfter, DefaultIdleAfter)
	if o.Seeds == nil {
		o.Seeds = func() []string { return nil }
	}
	if o.Block == nil {
		o.Block = func(string) bool { return false }
	}
	if o.OnEvent == nil {
		o.OnEvent = func(members.Action) {}
	}
	if o.TLS != nil {
		o.TLS = mutual(o.TLS)
	}
	return o
}

// callTimeout returns the bound of a call of type t.
func (o *Options) callTimeout(t wire.Type) time.Duration {
	if t == wire.TypeForward {
		return o.ForwardTimeout
	}
	return o.CallTimeout
}

// mutual makes sure that the accepting side asks for a certificate too.
func mutual(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
