package upstream

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// KeepErrors returns a connection whose reads also fail with the error of a write. A socket reports an error once: if the
// write of a request takes a reset, the read that follows sees a plain end, and half an answer that ends with its
// connection looks whole. Once the peer has ended the connection, nothing more is written on it.
func KeepErrors(conn net.Conn) net.Conn { return &errorKeepingConn{Conn: conn} }

// errorKeepingConn is described at KeepErrors.
type errorKeepingConn struct {
	net.Conn

	writeMu  sync.Mutex // held during a write
	writeErr error      // of the first write that failed

	deadlineMu sync.Mutex
	ended      bool // a read met the end; the write deadline has passed
}

// Write implements net.Conn.
func (c *errorKeepingConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *errorKeepingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the error of a write that shows that the connection was reset or given up before its
// end. A write that goes on is ended first, since it may have taken the error already.
func (c *errorKeepingConn) endError() error {
	c.endWrites()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr == nil || isWriteAfterEnd(c.writeErr) {
		return io.EOF
	}
	return c.writeErr
}

// isWriteAfterEnd reports whether a write failed because the peer had ended the connection (EPIPE), or because this
// process gave the write up.
func isWriteAfterEnd(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// endWrites makes writes fail from now on. It fails only on a closed connection, whose writes have failed.
func (c *errorKeepingConn) endWrites() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.ended = true
	_ = c.Conn.SetWriteDeadline(time.Unix(0, 1))
}

// SetWriteDeadline implements net.Conn. It does nothing after the end.
func (c *errorKeepingConn) SetWriteDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *errorKeepingConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
