package router

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// serveReplica starts a replica that handles each request, whose body it has not read, with handle, and closes the
// connection then. It returns its address.
func serveReplica(t *testing.T, handle func(c *net.TCPConn, in *bufio.Reader, r *http.Request)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if r, err := http.ReadRequest(in); err == nil {
					handle(c.(*net.TCPConn), in, r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against half an answer without a length that a caller of the own interface gets as a whole one, because the
// replica reset the connection while the request was still being written.
func TestResetWhileARequestOfTheOwnInterfaceIsWritten(t *testing.T) {
	const calls, upload = 12, 4 << 20
	s := newServiceFixtureWithout(t)
	s.publish(serveReplica(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
		if r.URL.Path != "/orders" {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond) // until the request fills the buffers
		_ = c.SetLinger(0)
	}))
	r, _, _ := s.startReady("a", time.Minute)
	answers := make(chan callerAnswer, calls)
	for i := range calls {
		go func() {
			answers <- s.askWith(r, http.MethodPost, fmt.Sprint("key", i), strings.NewReader(strings.Repeat("x", upload)))
		}()
	}
	for range calls {
		if a := waittest.Receive(t, "an answer", answers); a.err == nil && a.status == http.StatusOK {
			t.Errorf("a complete 200 with %q", a.body)
		}
	}
}

// Guards against an answer that reaches a caller of the own interface although its head is malformed.
func TestBrokenHeadsReachNoCallerOfTheOwnInterface(t *testing.T) {
	heads := map[string]string{
		"status-000":        "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nodd",
		"status-001":        "HTTP/1.1 001 OK\r\nContent-Length: 3\r\n\r\nodd",
		"status-101":        "HTTP/1.1 101 Switching Protocols\r\n\r\nodd",
		"status-600":        "HTTP/1.1 600 OK\r\nContent-Length: 3\r\n\r\nodd",
		"version-2":         "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nodd",
		"space-in-a-name":   "HTTP/1.1 200 OK\r\nX Odd: odd\r\nContent-Length: 3\r\n\r\nodd",
		"length-and-space":  "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nodd and more",
		"chunks-and-space":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
		"chunks-in-1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
		"control-in-a-name": "HTTP/1.1 200 OK\r\nX\x01Odd: odd\r\nContent-Length: 3\r\n\r\nodd",
		"refusal-and-space": "HTTP/1.1 503 Unavailable\r\nX Odd: odd\r\nContent-Length: 32\r\n\r\n{\"reason\":\"odd\",\"leaving\":false}",
	}
	s := newServiceFixtureWithout(t)
	s.publish(serveReplica(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, heads[r.Header.Get("Idempotency-Key")])
	}))
	r, _, _ := s.startReady("a", time.Minute)
	for key := range heads {
		a := s.ask(r, http.MethodPost, key)
		if a.err != nil || a.status != http.StatusBadGateway || strings.Contains(a.body, "odd") {
			t.Errorf("%s: %+v", key, a)
		}
	}
}

// serveEngine starts an engine whose answer to each decode call is a head and then one token and the end.
func serveEngine(t *testing.T, decodeHead func() string) (address string) {
	return serveReplica(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
		var work engineapi.WorkID
		body, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(body, &work) // calls without a body name no work
		if r.URL.Path != engineapi.PathDecode {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Call-Id: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", r.Header.Get("X-Call-Id"))
			return
		}
		_, _ = io.WriteString(c, decodeHead())
		for _, chunk := range []engineapi.Chunk{{Imported: true}, {Text: "odd"}, {Index: 1, Done: true, Tokens: 1, FinishReason: "stop"}} {
			chunk.WorkID = work
			line, _ := json.Marshal(chunk)
			_, _ = c.Write(append(line, '\n'))
		}
	})
}

// complete asks for a completion of the own interface.
func (s *serviceFixture) complete(r *Router) callerAnswer {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.CallersAddress()+"/v1/completions", strings.NewReader(`{"model":"llm","prompt":"p","max_tokens":4}`))
	if err != nil {
		return callerAnswer{err: err}
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client.Do(req)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return callerAnswer{res.StatusCode, string(body), err}
}

// Guards against a completion of the own interface that is made of an engine's answer whose head is malformed.
func TestBrokenHeadsOfEnginesReachNoCallerOfTheOwnInterface(t *testing.T) {
	var head atomic.Pointer[string]
	engine := func() string { return serveEngine(t, func() string { return *head.Load() }) }
	s := newServiceFixtureWithout(t)
	s.bundle = func(b *bundle.Bundle) {
		b.Models = map[string]bundle.Model{"llm": {Version: "1", PrefillPool: "prefill", DecodePool: "decode", KVBytesPerToken: 1}}
		b.Pools["prefill"] = bundle.Pool{Role: bundle.RolePrefill, Slots: 1, LinkBytesPerSecond: 1 << 30}
		b.Pools["decode"] = bundle.Pool{Role: bundle.RoleDecode, Slots: 8, LinkBytesPerSecond: 1 << 30}
		for _, pool := range []string{"prefill", "decode"} {
			b.Upstreams[pool] = bundle.Upstream{Pool: pool, DataCentre: "local", Address: engine(), State: bundle.StateServing}
		}
	}
	s.publish(closedAddress(t))
	r, _, _ := s.startReady("a", time.Minute)
	for _, tc := range []struct {
		name, head string
		whole      bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 OK\r\n\r\n", false},
		{"version 2", "HTTP/2.0 200 OK\r\n\r\n", false},
		{"a space in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", false},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n\r\n", false},
		{"an odd name in a 103", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
	} {
		head.Store(&tc.head)
		a := s.complete(r)
		if whole := a.err == nil && a.status == http.StatusOK; whole != tc.whole || strings.Contains(a.body, "odd") != tc.whole {
			t.Errorf("%s: %+v", tc.name, a)
		}
	}
}

// Guards against a small instance that runs out of memory, and ends the requests of all its callers, because a replica of a
// plain service sends answers of the own interface without end.
func TestEndlessAnswersOfTheOwnInterface(t *testing.T) {
	const calls, maxHeapGrowth = 64, 40 << 20
	for name, head := range map[string]string{
		"until the end of the connection": "HTTP/1.1 200 OK\r\n\r\n",
		"with a length":                   "HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n",
		"in chunks":                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000000\r\n",
		"an error":                        "HTTP/1.1 500 Internal Server Error\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServiceFixtureWithout(t)
			s.change = func(c *settings.Settings) { c.Limits.MemoryMB = 112 }
			s.publish(serveReplica(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
				if _, err := io.WriteString(c, head); err != nil || r.URL.Path != "/orders" {
					return
				}
				for piece := bytes.Repeat([]byte("x"), 32<<10); ; {
					if _, err := c.Write(piece); err != nil {
						return
					}
				}
			}))
			r, _, _ := s.startReady("a", time.Minute)
			before, peak := liveHeap(), int64(0)
			var wg conc.WaitGroup
			for range calls {
				wg.Go(func() { s.ask(r, http.MethodGet, "") })
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
					peak = max(peak, liveHeap())
				}
			}
			t.Logf("heap grew by %d KB", (peak-before)>>10)
			if peak > before+maxHeapGrowth {
				t.Errorf("the live heap grew from %d to %d bytes", before, peak)
			}
		})
	}
}
