package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/request"
)

// edge is a server of either interface of callers.
type edge struct {
	address string
	drain   func(ctx context.Context) error
	stop    func()     // ends Run and waits for it
	active  func() int // returns the number of connections with a request in progress
	conns   *connLimiter
}

// edges starts a server of each interface, which calls run for each request that it passes on.
var edges = map[string]func(t *testing.T, run func()) *edge{
	"listener": newListenerEdge,
	"server":   newServerEdge,
}

// edgeRequest is a request that both edges answer with 201, and its body.
const edgeRequest = "POST /services/shop/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 2\r\n\r\nok"

func newListenerEdge(t *testing.T, run func()) *edge {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		run()
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	})
	l := NewListener(ListenerOptions{Name: "callers", Address: "127.0.0.1:0", MaxConns: 16, Handler: handler, Report: newTestReporter()})
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	e := &edge{address: l.Addr().String(), drain: func(ctx context.Context) error { return l.Drain(ctx, 0) }}
	e.active = func() (n int) {
		l.conns.mu.Lock()
		defer l.conns.mu.Unlock()
		for c := range l.conns.served {
			if c.state == http.StateActive {
				n++
			}
		}
		return n
	}
	waittest.Until(t, "the server is started", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		e.conns = l.conns
		return e.conns != nil
	})
	e.stop = onceStop(t, cancel, done)
	return e
}

func newServerEdge(t *testing.T, run func()) *edge {
	t.Helper()
	g := newTestServer(t, func(o *Options) { o.Drain.Timeout = testTimeout })
	g.runner.call = func(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error) {
		run()
		return echoCall(ctx, c)
	}
	return &edge{address: g.Addr().String(), drain: g.Drain, stop: g.stop, conns: g.conns}
}

// onceStop returns a function that ends a Run and waits for it, which is also called at the test's end.
func onceStop(t *testing.T, cancel func(), done <-chan error) func() {
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// keep opens a connection to an edge and has it serve one request.
func (e *edge) keep(t *testing.T) net.Conn {
	t.Helper()
	c := e.dial(t)
	if _, err := io.WriteString(c, edgeRequest); err != nil {
		t.Fatal(err)
	}
	if err := readAnswer(c); err != nil {
		t.Fatal(err)
	}
	return c
}

func (e *edge) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readAnswer reads the answer to edgeRequest.
func readAnswer(c net.Conn) error {
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusCreated || string(body) != "ok" {
		return fmt.Errorf("%s %q", resp.Status, body)
	}
	return nil
}

// startDrain begins a drain and waits until the edge accepts no more connections.
func (e *edge) startDrain(t *testing.T, ctx context.Context) <-chan error {
	t.Helper()
	drained := make(chan error, 1)
	go func() { drained <- e.drain(ctx) }()
	waittest.Until(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", e.address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	return drained
}

// Guards against requests that are lost because they arrive in part before a drain closes idle connections, and in part after.
func TestDrainAnswersRequestsThatHaveBegun(t *testing.T) {
	for name, start := range edges {
		for part, first := range map[string]int{"one byte": 1, "half of the header": 30, "no body": strings.Index(edgeRequest, "\r\n\r\n") + 4} {
			for _, kept := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, kept %t", name, part, kept), func(t *testing.T) {
					e := start(t, func() {})
					var c net.Conn
					if kept {
						c = e.keep(t)
					} else {
						c = e.dial(t)
					}
					if _, err := io.WriteString(c, edgeRequest[:first]); err != nil {
						t.Fatal(err)
					}
					waittest.Until(t, "the connection is accepted", func() bool {
						e.conns.mu.Lock()
						defer e.conns.mu.Unlock()
						return len(e.conns.served) == 1
					})
					drained := e.startDrain(t, t.Context())
					if _, err := io.WriteString(c, edgeRequest[first:]); err != nil {
						t.Error(err)
					}
					if err := readAnswer(c); err != nil {
						t.Error(err)
					}
					if err := waittest.Receive(t, "the end of the drain", drained); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// Guards against drains that do not end while callers keep connections without requests.
func TestDrainClosesConnectionsWithoutRequests(t *testing.T) {
	for name, start := range edges {
		t.Run(name, func(t *testing.T) {
			e := start(t, func() {})
			conns := []net.Conn{e.keep(t), e.dial(t)}
			drained := e.startDrain(t, t.Context())
			for _, c := range conns {
				if err := readAnswer(c); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("a connection without a request: %v", err)
				}
			}
			if err := waittest.Receive(t, "the end of the drain", drained); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against requests that run while a drain closes their connection: each that reaches an upstream is answered.
func TestDrainAnswersWhatRuns(t *testing.T) {
	const conns = 8
	for name, start := range edges {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				var run, answered atomic.Int64
				e := start(t, func() { run.Add(1) })
				var kept []net.Conn
				for range conns {
					kept = append(kept, e.keep(t))
				}
				answered.Add(conns)
				var wg conc.WaitGroup
				for _, c := range kept {
					wg.Go(func() {
						_, _ = io.WriteString(c, edgeRequest) // the connection may be closed already
						if readAnswer(c) == nil {
							answered.Add(1)
						}
					})
				}
				if err := e.drain(t.Context()); err != nil {
					t.Error(err)
				}
				wg.Wait()
				e.stop()
				if run.Load() != answered.Load() {
					t.Errorf("%d requests ran, %d were answered", run.Load(), answered.Load())
				}
			}
		})
	}
}

// Guards against answers that are cut because the process ends when the requests that remained at the drain's limit have just been failed.
func TestRunEndsAfterTheLastAnswers(t *testing.T) {
	const rounds = 20
	for range rounds {
		started, release := make(chan struct{}), make(chan struct{})
		e := newListenerEdge(t, func() {
			close(started)
			<-release
		})
		c := e.dial(t)
		if _, err := io.WriteString(c, edgeRequest); err != nil {
			t.Fatal(err)
		}
		<-started
		limit, cancel := context.WithCancel(t.Context())
		cancel()
		if err := e.drain(limit); err == nil {
			t.Error("Drain returned no error although a request was in flight")
		}
		close(release)
		e.stop()
		if e.active() > 0 {
			t.Fatal("Run ended before the answer was written")
		}
		if err := readAnswer(c); err != nil {
			t.Error(err)
		}
	}
}

// Guards against connections that are held for as long as their callers like, and against drains that wait for them, because the rest of a refused request's body does not come.
func TestRefusedBodyIsNotWaitedFor(t *testing.T) {
	for name, header := range map[string]string{"body": "", "body after 100-continue": "Expect: 100-continue\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := newTestServer(t, func(o *Options) {
				o.Drain.Timeout, o.Callers.BodyTimeout = testTimeout, 50*time.Millisecond
			})
			c, err := net.Dial("tcp", g.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, "POST /services/none/x HTTP/1.1\r\nHost: x\r\n"+header+"Content-Length: 9\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := resp.Body.Close(); err != nil || resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s, %v", resp.Status, err)
			}
			if err := g.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}
