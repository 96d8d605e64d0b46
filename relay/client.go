package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// dialTime bounds a new connection to a daemon: many times the way to any data centre
// of a region.
const dialTime = 100 * time.Millisecond

// Dialer opens connections to other daemons.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer of a daemon.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTime}
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Wrap(err, "connect to a daemon")
}

// client calls one daemon at a time, over one connection. It is not safe for concurrent
// use.
type client struct {
	dial    Dialer
	address string
	conn    net.Conn
	reader  *wire.Reader
	number  uint64
}

// read asks the reader at address for records, which it has slack more than the wait to
// send. An error leaves no connection behind.
func (c *client) read(ctx context.Context, address string, msg readCall, slack time.Duration) (reply readReply, b fleet.Batch, err error) {
	if err = c.call(ctx, address, wire.TypeFeedRead, msg.Wait+slack, &msg, &reply); err != nil {
		return reply, b, err
	}
	if reply.Verdict == fit {
		if b, err = unpackBatch(reply.Batch); err != nil {
			c.close()
		}
	}
	return reply, b, err
}

// meet asks the daemon at address who reads.
func (c *client) meet(ctx context.Context, address string, msg meetCall, within time.Duration) (reply meetReply, err error) {
	err = c.call(ctx, address, wire.TypeReaders, within, &msg, &reply)
	return reply, err
}

// call sends one message and reads its answer within a time.
func (c *client) call(ctx context.Context, address string, t wire.Type, within time.Duration, msg, reply any) error {
	err := c.exchange(ctx, address, t, within, msg, reply)
	if err != nil {
		c.close()
	}
	return err
}

func (c *client) exchange(ctx context.Context, address string, t wire.Type, within time.Duration, msg, reply any) error {
	if err := c.connect(ctx, address); err != nil {
		return err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err := c.transfer(t, within, msg, reply)
	if !stop() && err == nil {
		// The call ended as its context did: the connection is closed, or is about to be.
		// Kept, it would make the next call take the daemon for lost.
		err = errors.WithStack(context.Cause(ctx))
	}
	return err
}

// transfer sends a message and reads its answer over the open connection.
func (c *client) transfer(t wire.Type, within time.Duration, msg, reply any) error {
	conn := c.conn
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return errors.WithStack(err)
	}
	c.number++
	if err := send(conn, wire.Envelope{Type: t, ID: c.number}, msg); err != nil {
		return err
	}
	env, _, err := c.reader.Read()
	if err != nil {
		return errors.Wrap(err, "read a daemon's answer")
	}
	if env.Type != t || env.ID != c.number || !env.Reply {
		return errors.Errorf("unexpected answer of type %d", env.Type)
	}
	return wire.Decode(env.Body, reply)
}

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
