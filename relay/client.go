package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// dialTimeout bounds connecting to another daemon. It is many times the round trip to any
// data centre of a region.
const dialTimeout = 100 * time.Millisecond

// Dialer opens a connection to another daemon.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer used in production.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Wrap(err, "connect to daemon")
}

// client makes calls to one daemon at a time over a single connection, which it reopens
// when the address changes. It is not safe for concurrent use.
type client struct {
	dial    Dialer
	address string
	conn    net.Conn
	reader  *wire.Reader
	lastID  uint64
}

// read asks the daemon at address for records. The answer must arrive within msg.Wait plus
// slack. After an error the connection is closed.
func (c *client) read(ctx context.Context, address string, msg readRequest, slack time.Duration) (reply readResponse, b fleet.Batch, err error) {
	if err = c.call(ctx, address, wire.TypeFeedRead, msg.Wait+slack, &msg, &reply); err != nil {
		return reply, b, err
	}
	if reply.Status == statusFresh {
		if b, err = decodeBatch(reply.Batch); err != nil {
			c.close()
		}
	}
	return reply, b, err
}

// discover asks the daemon at address which daemons read the store for the data centre of
// the calling daemon.
func (c *client) discover(ctx context.Context, address string, msg discoverRequest, within time.Duration) (reply discoverResponse, err error) {
	err = c.call(ctx, address, wire.TypeReaders, within, &msg, &reply)
	return reply, err
}

// call sends one request and reads its response. Both must be done within the given time.
func (c *client) call(ctx context.Context, address string, t wire.Type, within time.Duration, msg, reply any) error {
	err := c.roundTrip(ctx, address, t, within, msg, reply)
	if err != nil {
		c.close()
	}
	return err
}

// roundTrip connects if necessary, sends a request and reads its response. It returns early
// if the context ends.
func (c *client) roundTrip(ctx context.Context, address string, t wire.Type, within time.Duration, msg, reply any) error {
	if err := c.connect(ctx, address); err != nil {
		return err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err := c.sendAndReceive(t, within, msg, reply)
	if !stop() && err == nil {
		// The context ended at the same time as the call, so the connection is closed or
		// about to be. If it were kept, the next call would fail and the daemon would count
		// as unreachable.
		err = errors.WithStack(context.Cause(ctx))
	}
	return err
}

// sendAndReceive sends a request and reads its response over the open connection.
func (c *client) sendAndReceive(t wire.Type, within time.Duration, msg, reply any) error {
	conn := c.conn
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return errors.WithStack(err)
	}
	c.lastID++
	if err := writeMessage(conn, wire.Envelope{Type: t, ID: c.lastID}, msg); err != nil {
		return err
	}
	env, _, err := c.reader.Read()
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if env.Type != t || env.ID != c.lastID || !env.Reply {
		return errors.Errorf("unexpected response of type %d", env.Type)
	}
	return wire.Decode(env.Body, reply)
}

// connect opens the connection to an address unless it is already open.
func (c *client) connect(ctx context.Context, address string) error {
	if c.conn != nil && c.address == address {
		return nil
	}
	c.close()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
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
