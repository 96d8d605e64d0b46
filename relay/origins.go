package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/origin"
)

const (
	// originCopies is the number of other daemons that keep each record of an origin.
	originCopies = 2
	// shareTimeout bounds a call that sends records, and askTimeout one that asks for a record.
	shareTimeout = 250 * time.Millisecond
	askTimeout   = 120 * time.Millisecond
	// soleTimeout bounds a call that asks for the only version of a service, for which the other daemon
	// reads the store, and serveSoleTimeout its answer. maxSoleAsked bounds the daemons asked.
	soleTimeout      = 450 * time.Millisecond
	serveSoleTimeout = 400 * time.Millisecond
	maxSoleAsked     = 2
	// originBackoff is how long a daemon that failed to answer gets no calls.
	originBackoff = 500 * time.Millisecond
	// shareDelayPerDaemon is the time for which records are collected, for each daemon of the data
	// centre, at most maxShareDelay: the reader gets the records of all of them.
	shareDelayPerDaemon = 2 * time.Millisecond
	maxShareDelay       = 200 * time.Millisecond
)

// originRecords sends records of origins, and originAck confirms them.
type originRecords struct {
	Records []origin.Record `msgpack:"r"`
}

type originAck struct {
	// Logged is set if the daemon appends the records to the platform's log.
	Logged bool `msgpack:"l"`
}

// errBackingOff means that a daemon is not called because it failed to answer a moment ago.
var errBackingOff = errors.New("the daemon did not answer a moment ago")

// maxSharedRecords bounds the records of one message.
const maxSharedRecords = 4096

// OriginKeeper keeps the records of origins that other daemons send. origin.Keeper implements it.
type OriginKeeper interface {
	Accept(list []origin.Record) (logged bool)
	Lookup(ctx context.Context, q origin.Query) origin.Reply
}

// Origins sends records of origins to other daemons and asks them. It implements origin.Peers and
// is safe for concurrent use.
//
// Load pattern: each daemon of a data centre begins a few streams a second, and a few hundred
// streams are taken up at once when a daemon ends. All records of a data centre go to its reader
// and the first successor, where every daemon looks for them.
type Origins struct {
	o OriginsOptions

	mu    sync.Mutex
	conns map[originConnKey]*originConn
}

// originConnKey identifies a connection. Calls for the only version of a service, which wait for the store,
// have one of their own.
type originConnKey struct {
	address string
	sole    bool
}

// OriginsOptions configure Origins; all fields are required.
type OriginsOptions struct {
	Roster *Roster
	Dial   Dialer
	Logger log.Interface
	Now    func() time.Time
}

// originConn is the connection to one daemon. It carries one call at a time.
type originConn struct {
	inUse        chan struct{} // semaphore held during a call; guards the other fields
	client       client
	lastUsed     time.Time
	backoffUntil time.Time
}

// NewOrigins returns Origins without connections.
func NewOrigins(o OriginsOptions) *Origins {
	return &Origins{o: o, conns: map[originConnKey]*originConn{}}
}

// ShareDelay implements origin.Peers.
func (g *Origins) ShareDelay() time.Duration {
	local := g.o.Roster.LocalDaemons(g.o.Now())
	return min(time.Duration(max(local, 1))*shareDelayPerDaemon, maxShareDelay)
}

// Share implements origin.Peers. The records go to the reader of this data centre and its first
// successor, and to readers of other data centres where there are too few.
func (g *Origins) Share(ctx context.Context, list []origin.Record) (logged bool) {
	copies := 0
	for _, p := range g.keepers() {
		if copies == originCopies {
			break
		}
		var ack originAck
		if err := g.call(ctx, originConnKey{address: p.Address}, wire.TypeOrigins, shareTimeout, &originRecords{Records: list}, &ack); err != nil {
			g.o.Logger.WithFields(log.Fields{"daemon": p.Address, "records": len(list)}).WithError(err).Debug("origins not shared")
			continue
		}
		copies++
		logged = logged || ack.Logged
	}
	return logged
}

// Ask implements origin.Peers.
func (g *Origins) Ask(ctx context.Context, q origin.Query) origin.Reply {
	if q.ID == (origin.ID{}) {
		return g.askForSole(ctx, q)
	}
	return g.askForRecord(ctx, q)
}

// askForRecord asks all daemons at once that may keep the record, and returns as soon as one has it. The
// other calls go on, because cancelling one closes its connection.
func (g *Origins) askForRecord(ctx context.Context, q origin.Query) (out origin.Reply) {
	keepers := g.keepers()
	replies := make(chan origin.Reply, len(keepers))
	for _, p := range keepers {
		go func() { replies <- g.askOne(context.WithoutCancel(ctx), p, q, askTimeout) }()
	}
	for range keepers {
		select {
		case reply := <-replies:
			if reply.Found || reply.Conflict {
				return reply
			}
			out.Answered = out.Answered || reply.Answered
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// askForSole asks the reader for the only version of a service, and a successor if it does not know. Each
// that is asked reads the store, so that they are not asked at once.
func (g *Origins) askForSole(ctx context.Context, q origin.Query) (out origin.Reply) {
	keepers := g.keepers()
	for _, p := range keepers[:min(len(keepers), maxSoleAsked)] {
		reply := g.askOne(ctx, p, q, soleTimeout)
		if reply.Several || reply.SoleVersion != "" {
			return reply
		}
		out.Answered = out.Answered || reply.Answered
	}
	return out
}

// askOne asks one daemon.
func (g *Origins) askOne(ctx context.Context, p Peer, q origin.Query, within time.Duration) (reply origin.Reply) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	key := originConnKey{address: p.Address, sole: q.ID == origin.ID{}}
	if err := g.call(ctx, key, wire.TypeOriginGet, within, &q, &reply); err != nil {
		g.o.Logger.WithField("daemon", p.Address).WithError(err).Debug("origin not asked for")
		return origin.Reply{}
	}
	reply.Source, reply.Answered = p.Instance, true
	return reply
}

// keepers returns the other daemons that keep records, in the order in which they are asked to.
func (g *Origins) keepers() []Peer {
	now, self := g.o.Now(), g.o.Roster.Self().Address
	var out []Peer
	for _, p := range append(g.o.Roster.Order(now), g.o.Roster.OtherReaders(now)...) {
		if p.Address != self {
			out = append(out, p)
		}
	}
	return out
}

// call makes one call to a daemon.
func (g *Origins) call(ctx context.Context, key originConnKey, t wire.Type, within time.Duration, msg, reply any) error {
	c := g.conn(key)
	select {
	case c.inUse <- struct{}{}:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	defer func() { <-c.inUse }()
	now := g.o.Now()
	if now.Before(c.backoffUntil) {
		return errBackingOff
	}
	if now.Sub(c.lastUsed) >= maxLoanIdle {
		c.client.close()
	}
	c.lastUsed = now
	err := c.client.call(ctx, key.address, t, within, msg, reply)
	if err != nil && ctx.Err() == nil {
		c.backoffUntil = g.o.Now().Add(originBackoff)
	}
	return err
}

// conn returns the entry of a connection.
func (g *Origins) conn(key originConnKey) *originConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := g.conns[key]
	if found == nil {
		found = &originConn{inUse: make(chan struct{}, 1), client: client{dial: g.o.Dial}}
		g.conns[key] = found
	}
	return found
}
