package frontend

import (
	"net/http"
	"runtime"
)

// handleSentAhead returns a handler that passes requests to next. If all places for connections are taken, it closes the
// connection after the response to a request behind which more were sent ahead.
//
// A connection with unread requests gives its place to nobody. Clients that send thousands of requests ahead would
// otherwise hold all places until the last one is answered. They would also hold the processors: to read the next
// request does not block, so that a goroutine serves hundreds of them, 10 ms, before another one runs.
func handleSentAhead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.isSentAhead() {
			runtime.Gosched()
		}
		if r.ContentLength == 0 && c.limiter.isFull() && hasUnread(c.Conn) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// isSentAhead reports whether the request that is handled was sent before the response to the one before it. Of several
// that are read together, the last one may be missed.
func (c *limitedConn) isSentAhead() bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.sentAhead && !c.isHTTP2
}

// isFull reports whether all places are taken.
func (l *connLimiter) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.served) >= l.maxServed
}
