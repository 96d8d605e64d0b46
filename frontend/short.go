package frontend

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxShortBytes is the most that is read of the body of a short request, which has none as a rule.
const maxShortBytes = 4 << 10

// closeUnfinished returns a handler that passes requests to next. It closes the connection of a request with a body
// after the response, and at once if the body is too long; also one over which more requests were sent ahead.
//
// net/http would read a body on until the server's timeout, or keep a connection open for half a second
// whose body it does not read, and would answer thousands of requests in turn. Meanwhile the connection has one of the
// listener's few places.
func closeUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			if c := connOf(r); c != nil && hasUnread(c.Conn) {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		_, err := io.CopyN(io.Discard, r.Body, maxShortBytes)
		next.ServeHTTP(w, r)
		if errors.Is(err, io.EOF) {
			return
		}
		_ = http.NewResponseController(w).Flush() // an error means that the connection is closed
		panic(http.ErrAbortHandler)
	})
}
