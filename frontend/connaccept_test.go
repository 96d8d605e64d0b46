package frontend

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
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

// noDescriptorListener fails once for want of descriptors, and is closed then.
type noDescriptorListener struct {
	net.Listener
	failed bool
}

func (l *noDescriptorListener) Accept() (net.Conn, error) {
	if l.failed {
		return nil, net.ErrClosed
	}
	l.failed = true
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// Guards against callers that wait for a second because the process lacked descriptors for a moment: net/http pauses
// for longer after each such error, while the listener for other daemons takes the descriptors that become free.
func TestAcceptTriesAgainWithoutDescriptors(t *testing.T) {
	l := newConnLimiter(&noDescriptorListener{}, 1, newTestReporter())
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("net/http gets to know of %v", err)
	}
}
