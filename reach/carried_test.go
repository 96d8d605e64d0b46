package reach

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/upstream"
)

// The stages of a request at its upstream.
const (
	stageAccepted = iota // nothing of it has been read
	stageHead            // its head has been read
	stageRan             // it has been read whole and runs
	stageAnswered        // a part of the answer has been sent
	stages
)

// breakingUpstream runs requests whole, and calls breakOff at a stage of the first one.
type breakingUpstream struct {
	stage    int
	breakOff func(c *net.TCPConn)
	once     sync.Once
	runs     atomic.Int32
}

func (u *breakingUpstream) serve(c net.Conn) {
	defer c.Close()
	at := func(stage int) {
		if stage == u.stage {
			u.once.Do(func() { u.breakOff(c.(*net.TCPConn)) })
		}
	}
	at(stageAccepted)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	at(stageHead)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.runs.Add(1)
	at(stageRan)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
	at(stageAnswered)
	_, _ = io.WriteString(c, "ngth: 2\r\n\r\nok")
}

// start serves until stop, which waits for what has been sent.
func (u *breakingUpstream) start(ln net.Listener) (stop func()) {
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { u.serve(c) })
		}
	})
	return func() {
		ln.Close()
		serving.Wait()
	}
}

// carriedClient returns a client whose direct connections are refused, and which has two carriers to an upstream.
func carriedClient(t *testing.T, address string) (client *http.Client, carriers []*testCarrier) {
	carriers = []*testCarrier{newTestCarrier(t, address, nil), newTestCarrier(t, address, nil)}
	refused := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	monitor := NewMonitor(MonitorOptions{Paths: NewPaths(), Connect: refused, OnCutOff: func(bool) {}, Metrics: noMetrics{}, Logger: discardLogger, Now: time.Now})
	opener := newTestClient(carriers[0].address, carriers[1].address)
	carried := func(ctx context.Context, _, _ string) (net.Conn, error) { return opener.Open(ctx, "u") }
	transport := func(connect upstream.DialFunc) http.RoundTripper {
		return upstream.NewHTTPClientWith(upstream.TransportConfig{Connect: connect, NoReuse: true, PerHost: 4}).Transport
	}
	client = &http.Client{Transport: &Transport{
		Paths: monitor.o.Paths, Monitor: monitor, Now: time.Now, Direct: transport(refused), Detour: transport(carried),
	}}
	return client, carriers
}

// Guards against a carried request that counts as not sent and runs, or that is sent once more, because its connection
// breaks at some stage.
func TestCarriedRequestsThatBreakOff(t *testing.T) {
	for _, name := range []string{"the upstream resets it", "the upstream ends it", "the carriers are killed", "the call is given up"} {
		for stage := range stages {
			for size, body := range map[string]string{"small": "order", "large": strings.Repeat("x", 6<<20)} {
				t.Run(fmt.Sprint(name, " at stage ", stage, ", ", size), func(t *testing.T) {
					t.Parallel()
					testBreakOff(t, name, stage, body)
				})
			}
		}
	}
}

func testBreakOff(t *testing.T, name string, stage int, body string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	client, carriers := carriedClient(t, address)
	breaks := map[string]func(c *net.TCPConn){
		"the upstream resets it": func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		"the upstream ends it":   func(c *net.TCPConn) { c.Close() },
		"the call is given up":   func(*net.TCPConn) { cancel() },
		"the carriers are killed": func(*net.TCPConn) {
			for _, d := range carriers {
				close(d.kill)
			}
		},
	}
	u := &breakingUpstream{stage: stage, breakOff: breaks[name]}
	stop := u.start(ln)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	upstream.SetBody(req, []byte(body))
	resp, err := upstream.RoundTrip(client, req, upstream.Identity{})
	if err == nil {
		resp.Body.Close()
	}
	cancel()
	stop()
	runs, delivery := u.runs.Load(), upstream.DeliveryOf(err)
	if runs > 1 || runs > 0 && delivery != upstream.Maybe && delivery != upstream.Done {
		t.Errorf("ran %d times, %s: %v", runs, delivery, err)
	}
	if stage >= stageRan && runs != 1 {
		t.Errorf("ran %d times, want 1", runs)
	}
}
