package site

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
)

// answerFaults are faults of the bytes of answers, whatever call they answer. They apply to answers that are
// written at once.
type answerFaults struct {
	// RepeatShare is the share of answers that are sent twice. The second one follows at once, or if
	// RepeatLate is set, comes where the answer to the next request on the connection is expected.
	RepeatShare float64
	RepeatLate  bool
	// CutShare is the share of answers that stop at a random byte, with the end of their connection.
	CutShare float64
}

// faultyListener accepts connections that the answer faults of an upstream apply to.
type faultyListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener.
func (l faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, upstream: l.upstream}, nil
}

// faultyConn is a connection on which answers are repeated or cut.
type faultyConn struct {
	net.Conn
	upstream *Upstream
	late     []byte // the answer to send again before the next one
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	f := c.upstream.answerFaults()
	if bytes.HasPrefix(p, []byte("HTTP/1.1 ")) && len(c.late) > 0 {
		late := c.late
		c.late = nil
		if err := c.repeat(late, f); err != nil {
			return 0, err
		}
	}
	if f == (answerFaults{}) || !isWholeAnswer(p) {
		return c.Conn.Write(p)
	}
	if rand.Float64() < f.CutShare {
		_, _ = c.Conn.Write(p[:rand.IntN(len(p))])
		_ = c.Close()
		return 0, net.ErrClosed
	}
	again := rand.Float64() < f.RepeatShare
	if again && f.RepeatLate {
		c.late = bytes.Clone(p)
	}
	n, err := c.Conn.Write(p)
	if again && !f.RepeatLate && err == nil {
		_, err = c.Conn.Write(p)
	}
	return n, err
}

// repeat sends an answer again, unless the fault has ended.
func (c *faultyConn) repeat(answer []byte, f answerFaults) error {
	if !f.RepeatLate {
		return nil
	}
	_, err := c.Conn.Write(answer)
	return err
}

// isWholeAnswer reports whether p is one answer with its whole body.
func isWholeAnswer(p []byte) bool {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(p)), nil)
	if err != nil || resp.ContentLength < 0 {
		return false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return err == nil && n == resp.ContentLength
}

func (u *Upstream) answerFaults() answerFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentFaults().answerFaults
}
