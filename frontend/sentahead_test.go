package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
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
