package frontend

import (
	"io"
	"net"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// headRefusal is the response to a request whose head does not fit into the budget. It has not run.
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout is the time within which a caller must accept such a response.
	refusalTimeout = 200 * time.Millisecond
	// maxRefused bounds the connections of all listeners that are open after such a response.
	maxRefused = 32
	// maxRefusedBytes is the most that is read of a connection after such a response.
	maxRefusedBytes = 256 << 10
)

// refusedConns counts the connections that are read after a refusal.
var refusedConns = semaphore.NewWeighted(maxRefused)

// refuse answers a request whose header is not whole. With TLS, it closes the connection instead.
func (c *limitedConn) refuse() {
	c.limiter.report.Report(LimitHeads)
	if c.limiter.usesTLS {
		_ = c.Conn.Close() // the server notices
		return
	}
	c.refused.Store(true)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c, headRefusal) // fails only if the caller is gone
}

// Close implements net.Conn. If the connection were closed at once after a refusal, the unread bytes would
// reset it, and the caller could lose the response.
func (c *limitedConn) Close() error {
	if !c.refused.Swap(false) || !refusedConns.TryAcquire(1) {
		return c.Conn.Close()
	}
	go func() {
		defer refusedConns.Release(1)
		_ = c.CloseWrite()
		discardRest(c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}

// discardRest reads what a caller sends, for refusalTimeout at most.
func discardRest(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxRefusedBytes) // fails at the end, or at the deadline
}
