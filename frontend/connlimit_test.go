package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Guards against callers whose new connections wait unread until their time is over, because others
// hold all that a daemon may have open: idle ones, or ones with requests. Each new connection must be
// served, or closed at once.
func TestNewConnectionsAreReadOrClosed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		busy   bool // the open connections have requests in progress
		served bool
	}{{"idle ones are open", false, true}, {"busy ones are open", true, false}} {
		t.Run(tc.name, func(t *testing.T) {
			const limit = 3
			started, release := make(chan struct{}), make(chan struct{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/busy" {
					started <- struct{}{}
					<-release
				}
				fmt.Fprint(w, "ok")
			})
			l := NewListener("callers", "127.0.0.1:0", limit, handler, &log.Logger{Handler: discard.New()})
			if err := l.Listen(); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- l.Run(ctx) }()
			path := "/"
			if tc.busy {
				path = "/busy"
			}
			for range limit {
				c := sendRequest(t, l.Addr().String(), path)
				if tc.busy {
					<-started
				} else if err := readResponse(c); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 * limit {
				c := sendRequest(t, l.Addr().String(), "/")
				err := readResponse(c)
				var timeout net.Error
				if errors.As(err, &timeout) && timeout.Timeout() {
					t.Fatal("a new connection was neither served nor closed")
				}
				if served := err == nil; served != tc.served {
					t.Errorf("served %t: %v", served, err)
				}
			}
			close(release)
			stop()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

func sendRequest(t *testing.T, address, path string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) // the connection may be closed already
	return c
}

// readResponse reads one response. It fails with a timeout if none comes for as long as a caller would
// wait.
func readResponse(c net.Conn) error {
	if err := c.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// answerTimeout is far longer than a response or the close of a connection takes.
const answerTimeout = 5 * time.Second

// Guards against the same at the server of the project's own interface.
func TestServerClosesIdleConnectionsForNewOnes(t *testing.T) {
	g := newTestServer(t, func(o *Options) { o.Callers.MaxConnections = 1 })
	g.waitServing(t)
	for range 3 {
		c := sendRequest(t, strings.TrimPrefix(g.url, "http://"), "/readyz")
		if err := readResponse(c); err != nil {
			t.Fatalf("a new connection beside an idle one: %v", err)
		}
	}
}
