package frontend

import "net/http"

// closeSentAhead returns a handler that passes requests to next. If all places for connections are taken, it closes the
// connection after the response to a request behind which more were sent ahead.
//
// A connection with unread requests gives its place to nobody. Clients that send thousands of requests ahead would
// otherwise hold all places until the last one is answered.
func closeSentAhead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil && r.ContentLength == 0 && c.limiter.isFull() && hasUnread(c.Conn) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// isFull reports whether all places are taken.
func (l *connLimiter) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.served) >= l.maxServed
}
