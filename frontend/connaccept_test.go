package frontend

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

// Guards against readiness checks that are closed unread because connections are accepted faster than those that
// came before them are served.
func TestNewConnectionAwaitsRoom(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := newConnLimiter(ln, 1, newTestReporter())
	l.roomTimeout = testTimeout
	newConn := func() *limitedConn {
		client, server := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		return &limitedConn{Conn: server, limiter: l, place: make(chan struct{})}
	}
	served, waits, next := newConn(), newConn(), newConn()
	if !l.admitNow(served) || !l.admitNow(waits) || l.admitNow(next) {
		t.Fatal("not one connection is served while another waits")
	}
	admitted := make(chan bool, 1)
	go func() { admitted <- l.awaitRoom(next) }()
	l.onState(served, http.StateClosed)
	if !waittest.Receive(t, "the connection is admitted", admitted) {
		t.Error("a connection was closed unread although another one has ended")
	}
}

// Guards against readiness checks and callers that are closed unread because connections without a request took all
// places a moment ago: none of them can give its place yet.
func TestNewConnectionAwaitsUnfinishedRequests(t *testing.T) {
	const limit = 4
	l, address := newLimitedServer(t, limit, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	for range l.maxServed + l.maxWaiting {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	if err := readResponse(sendRequest(t, address, "/")); err != nil {
		t.Errorf("a request behind connections without one: %v", err)
	}
}
