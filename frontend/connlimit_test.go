package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/waittest"
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
			l := NewListener(ListenerOptions{Name: "callers", Address: "127.0.0.1:0", MaxConns: limit, Handler: handler, Report: newTestReporter()})
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

func newTestReporter() *LimitReporter {
	return NewLimitReporter("callers", nil, &log.Logger{Handler: discard.New()})
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

// newLimitedServer serves h on a listener that bounds its connections to limit and returns its address.
func newLimitedServer(t *testing.T, limit int, h http.HandlerFunc) (*connLimiter, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newConnLimiter(ln, limit, newTestReporter())
	l.placeTimeout = testTimeout
	server := &http.Server{Handler: h, ConnState: l.onState, ConnContext: withConn}
	done := make(chan error, 1)
	go func() {
		defer close(l.stopped)
		done <- server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l, ln.Addr().String()
}

// Guards against new connections that are closed unread because the server has not yet noticed that the answer which a caller has read is written.
func TestNewConnectionWaitsForOneThatIsAnswered(t *testing.T) {
	release := make(chan struct{})
	l, address := newLimitedServer(t, 1, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "0")
		if r.URL.Path == "/held" {
			_ = http.NewResponseController(w).Flush()
			<-release
		}
	})
	answered := sendRequest(t, address, "/held")
	if err := readResponse(answered); err != nil {
		t.Fatal(err)
	}
	waits := sendRequest(t, address, "/")
	waittest.Until(t, "the new connection waits", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.waiting.Len() == 1
	})
	if err := readResponse(sendRequest(t, address, "/")); err == nil {
		t.Error("one connection more than may wait was served")
	}
	close(release)
	if err := readResponse(waits); err != nil {
		t.Errorf("the connection that waited: %v", err)
	}
}

// Guards against requests whose connections are closed for new ones when they have begun to arrive.
func TestConnectionWithARequestIsNotTakenForIdle(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, first := range map[string]int{"one byte": 1, "half": len(whole) / 2, "whole": len(whole)} {
		t.Run(name, func(t *testing.T) {
			_, address := newLimitedServer(t, 2, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
			begun := sendRequest(t, address, "/")
			if err := readResponse(begun); err != nil {
				t.Fatal(err)
			}
			if err := readResponse(sendRequest(t, address, "/")); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(begun, whole[:first]); err != nil {
				t.Fatal(err)
			}
			if err := readResponse(sendRequest(t, address, "/")); err != nil {
				t.Errorf("a new connection beside an idle one: %v", err)
			}
			if _, err := io.WriteString(begun, whole[first:]); err != nil {
				t.Fatal(err)
			}
			if err := readResponse(begun); err != nil {
				t.Errorf("the request that had begun: %v", err)
			}
		})
	}
}

// Guards against requests that run without a connection for their answers: what a connection receives after it lost its place must not reach a handler.
func TestRequestIsNotReadAfterItsConnectionIsClosed(t *testing.T) {
	const rounds = 200
	var run, answered atomic.Int64
	_, address := newLimitedServer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		run.Add(1)
		fmt.Fprint(w, "ok")
	})
	for range rounds {
		kept := sendRequest(t, address, "/")
		if readResponse(kept) == nil {
			answered.Add(1)
		}
		var both conc.WaitGroup
		both.Go(func() {
			_, _ = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // the connection may be closed already
			if readResponse(kept) == nil {
				answered.Add(1)
			}
		})
		both.Go(func() {
			if readResponse(sendRequest(t, address, "/")) == nil {
				answered.Add(1)
			}
		})
		both.Wait()
	}
	if run.Load() != answered.Load() {
		t.Errorf("%d requests ran, %d were answered", run.Load(), answered.Load())
	}
}

// Guards against requests that are reset because a draining server closes a connection as soon as it has answered, and its caller was not told.
func TestDrainLetsCallersGoOn(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	l, address := newLimitedServer(t, 2, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(started)
			<-release
		}
	})
	l.lingerTimeout = testTimeout
	c := sendRequest(t, address, "/held")
	<-started
	drained := make(chan error, 1)
	go func() { drained <- l.drain(t.Context()) }()
	<-l.stopped
	close(release)
	for _, next := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", ""} {
		if err := readResponse(c); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, next); err != nil {
			t.Fatal(err)
		}
	}
	if err := waittest.Receive(t, "the end of the drain", drained); err != nil {
		t.Error(err)
	}
}
