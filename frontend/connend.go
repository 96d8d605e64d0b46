package frontend

import "net/http"

// beginEnding notes that the last response of a connection has been written. net/http keeps such a connection open
// for half a second if its caller has not sent the whole body: closed at once, it would be reset, and the caller
// could lose the response. A crowd whose bodies are refused could occupy all places so, since it is back sooner.
func (l *connLimiter) beginEnding(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ending == nil && l.served[c] {
		c.ending = l.ending.PushBack(c)
		l.noteRoom()
	}
}

// takeLongestEnding takes the place of the connection whose last response was written first. It returns nil if there
// is none. l.mu must be held.
func (l *connLimiter) takeLongestEnding() *limitedConn {
	e := l.ending.Front()
	if e == nil {
		return nil
	}
	c := e.Value.(*limitedConn)
	l.take(c)
	return c
}

// endConn notes that the response to r has been flushed, and that its connection will be closed.
func endConn(r *http.Request) {
	const multiplexed = 2 // an HTTP/2 connection has other streams
	if c := connOf(r); c != nil && r.ProtoMajor < multiplexed {
		c.limiter.beginEnding(c)
	}
}

// CloseWrite shuts down the writing side, which lets net/http close a connection without a reset.
func (c *limitedConn) CloseWrite() error {
	c.limiter.beginEnding(c)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
