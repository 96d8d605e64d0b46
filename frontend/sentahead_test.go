package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

// Guards against new connections that are closed unread because others have thousands of requests sent ahead, and hold
// their places until the last one is answered.
func TestConnectionWithRequestsSentAheadIsClosed(t *testing.T) {
	const requests = 500 // more bytes than the server reads at once
	for _, tc := range []struct{ places, most int }{{1, 1}, {2, requests}} {
		l := NewListener(ListenerOptions{
			Name: "callers", Address: "127.0.0.1:0", MaxConns: tc.places, Report: newTestReporter(),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }),
		})
		c := sendRaw(t, startListener(t, l), strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", requests))
		answered := 0
		for in := bufio.NewReader(c); answered < requests; answered++ {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break // closed; a reset may take the last response with it
			}
			_, _ = io.Copy(io.Discard, resp.Body) // the response has a length
		}
		if answered > tc.most || answered < tc.most && tc.places > 1 {
			t.Errorf("%d places: %d requests answered, want %d", tc.places, answered, tc.most)
		}
	}
}

// Guards against clients that hold the processors with thousands of requests sent ahead, because these are not known.
func TestRequestsSentAheadAreKnown(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	sentAhead := make(chan bool, 4)
	l, address := newLimitedServer(t, 4, func(_ http.ResponseWriter, r *http.Request) { sentAhead <- connOf(r).isSentAhead() })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for _, step := range []struct {
		sent string
		want []bool
	}{
		{request, []bool{false}}, {request, []bool{false}}, {strings.Repeat(request, 3), []bool{false, true, true}},
	} {
		waittest.Until(t, "the connection is idle", func() bool { return noneIsHandled(l) })
		if _, err := io.WriteString(conn, step.sent); err != nil {
			t.Fatal(err)
		}
		for i, want := range step.want {
			if got := waittest.Receive(t, "a request", sentAhead); got != want {
				t.Errorf("request %d of %d is taken for sent ahead: %t, want %t", i+1, len(step.want), got, want)
			}
		}
	}
}

// noneIsHandled reports whether no connection has a request in progress.
func noneIsHandled(l *connLimiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.served {
		if c.state == http.StateActive {
			return false
		}
	}
	return true
}
