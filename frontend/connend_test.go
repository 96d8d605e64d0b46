package frontend

import (
	"net/http"
	"testing"
)

// Guards against new connections that are closed unread because refused ones, whose bodies are not whole, keep their
// places after the response.
func TestNewConnectionTakesThePlaceOfOneThatEnds(t *testing.T) {
	release := make(chan struct{})
	l, address := newLimitedServer(t, 1, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
		endConn(r)
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	defer close(release)
	l.placeTimeout = 0
	const conns = 5
	for range conns {
		if err := readResponse(sendRequest(t, address, "/")); err != nil {
			t.Fatalf("a connection beside one that ends: %v", err)
		}
	}
}
