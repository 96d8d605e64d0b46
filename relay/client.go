package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// dialTime bounds a new connection to a reader. Assumed: many times the way to any
// data centre of a region.
const dialTime = 100 * time.Millisecond

// errFetch says that there are records to be read from the store.
var errFetch = errors.New("the records are to be read from the store")

// errUnfit says that a reader answered, but not for the feed.
var errUnfit = errors.New("the instance has no fresh word from the store")

// client asks one reader at a time for one feed, over one connection. It is not safe
// for concurrent use.
type client struct {
	feed    fleet.Feed
	address string
	conn    net.Conn
	reader  *wire.Reader
	number  uint64
}

// read asks the reader at address for records. An error leaves no connection behind.
func (c *client) read(ctx context.Context, address string, from uint64, wait time.Duration) (fleet.Batch, error) {
	reply, err := c.call(ctx, address, readCall{Feed: c.feed, From: from, Wait: wait})
	switch {
	case err != nil:
		c.close()
		return fleet.Batch{}, err
	case reply.Fetch:
		return fleet.Batch{}, errFetch
	case reply.Unfit:
		return fleet.Batch{}, errUnfit
	}
	return reply.Batch, nil
}

func (c *client) call(ctx context.Context, address string, msg readCall) (reply readReply, err error) {
	if err := c.connect(ctx, address); err != nil {
		return reply, err
	}
	conn := c.conn // c.conn may be gone when ctx ends
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := c.conn.SetDeadline(time.Now().Add(msg.Wait + callSlack)); err != nil {
		return reply, errors.WithStack(err)
	}
	c.number++
	if err := send(c.conn, wire.Envelope{Type: wire.TypeFeedRead, ID: c.number}, &msg); err != nil {
		return reply, err
	}
	env, _, err := c.reader.Read()
	if err != nil {
		return reply, errors.Wrap(err, "read a reader's answer")
	}
	if env.Type != wire.TypeFeedRead || env.ID != c.number || !env.Reply {
		return reply, errors.Errorf("unexpected answer of type %d", env.Type)
	}
	return reply, wire.Decode(env.Body, &reply)
}

func (c *client) connect(ctx context.Context, address string) error {
	if c.conn != nil && c.address == address {
		return nil
	}
	c.close()
	d := net.Dialer{Timeout: dialTime}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "connect to a reader")
	}
	c.conn, c.address, c.reader = conn, address, wire.NewReader(conn, wire.MaxFrame)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
