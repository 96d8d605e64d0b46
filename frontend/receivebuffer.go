package frontend

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/corianderturn/corianderturn/answers"
)

const (
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a connection. The smallest one holds an
	// ordinary request.
	minReceiveBytes = 8 << 10
	maxReceiveBytes = 64 << 10
	// maxBodyReceiveBytes is the largest receive buffer while a large body is read.
	maxBodyReceiveBytes = 128 << 10
	// kernelFactor is how many times the size that is asked for the kernel's buffer has; see socket(7).
	kernelFactor = 2
)

// receiveBytes returns the receive buffer of each connection, in bytes, if those of all connections are to have so
// much memory.
//
// The kernel holds what a client sends until it is read, up to megabytes a connection: the clients of a few hundred
// connections could fill the instance's memory although the daemon reads nothing.
func receiveBytes(memory int64, conns int) int {
	return int(min(max(memory/int64(conns), minReceiveBytes), maxReceiveBytes))
}

// withReceiveBuffer returns a control function of a net.ListenConfig that sets the receive buffer of a listener's
// connections.
func withReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size/kernelFactor) // without it, the kernel's size is used
		})
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the ConnContext hook of a server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// growingBody is a body that enlarges the receive buffer of its connection while it is large.
type growingBody struct {
	io.Reader
	conn  *limitedConn // nil if it is not known
	size  int64        // that is known: the stated length, or the bytes that have been read
	grows bool         // the size is that of the bytes that have been read
	grown bool
}

// GrowingBody returns the body of a request as a reader that enlarges the receive buffer of the request's connection
// when it reads a large body, which would take many round trips otherwise. It must only be read while there is
// memory for what is read. Close makes the buffer small again; it does not close the body.
func GrowingBody(r *http.Request, body io.Reader) io.ReadCloser {
	return &growingBody{Reader: body, conn: connOf(r), size: max(0, r.ContentLength), grows: r.ContentLength < 0}
}

// connOf returns the connection of a request, or nil if it is not known.
func connOf(r *http.Request) *limitedConn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok { // a TLS connection
		conn = t.NetConn()
	}
	c, _ := conn.(*limitedConn)
	return c
}

// Read implements io.Reader.
func (b *growingBody) Read(p []byte) (int, error) {
	if !b.grown && b.conn != nil && b.size > answers.LargeBodyBytes {
		b.grown = true
		b.conn.setReceiveBuffer(maxBodyReceiveBytes)
	}
	n, err := b.Reader.Read(p)
	if b.grows {
		b.size += int64(n)
	}
	return n, err
}

// Close implements io.Closer. If refused bodies kept their large buffers, a crowd that has memory by turns would fill
// one after the other.
func (b *growingBody) Close() error {
	if b.grown {
		b.conn.setReceiveBuffer(b.conn.limiter.receiveBytes)
	}
	return nil
}

// setReceiveBuffer sets the size of the receive buffer in bytes.
func (c *limitedConn) setReceiveBuffer(size int) {
	if b, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok && size > 0 {
		_ = b.SetReadBuffer(size / kernelFactor) // without it, the body takes longer
	}
}
