package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

var sitePaths = []string{site.PathDraft, site.PathLetter, site.PathLookUp, site.PathOrder}

// Guards against requests that are cut without an answer at the end of the grace period, because their upstreams have not
// answered by then.
func TestRequestsInFlightAtTheEndOfTheGracePeriod(t *testing.T) {
	f := newAttachedFleet(t, func(s *settings.Attached) { s.Drain.Grace = 3 * time.Second })
	f.setFaults("p0 p1 d0 d1 s0 s1", site.Faults{Dark: true})
	replies := make(chan reply, 4*len(sitePaths))
	for i := range cap(replies) {
		go func() { replies <- f.ask(t.Context(), sitePaths[i%len(sitePaths)]+"x", fmt.Sprint("r", i)) }()
	}
	waittest.Until(t, "all are in flight", func() bool { return len(f.daemon.runner.Active()) == cap(replies) })
	f.stop()
	for range cap(replies) {
		if r := waittest.Receive(t, "an answer", replies); r.err != nil || r.status < http.StatusInternalServerError {
			t.Errorf("%+v", r)
		}
	}
	if err := waittest.Receive(t, "the end", f.done); err != nil {
		t.Error(err)
	}
}

// slowPost is a request of which the last byte of its body has not been sent.
type slowPost struct {
	net.Conn
	in *bufio.Reader
}

func beginPost(t *testing.T, address, target, header, host string) *slowPost {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 5\r\n\r\norde", target, host, header); err != nil {
		t.Fatal(err)
	}
	return &slowPost{c, bufio.NewReader(c)}
}

// end sends the rest of the body and returns the status of the response, 0 if there is none.
func (p *slowPost) end() (status int, closes bool) {
	_, _ = io.WriteString(p, "r")
	resp, err := http.ReadResponse(p.in, nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// Guards against requests whose bodies end so late in a drain that they are passed on and cut: they are refused, and
// do not run.
func TestBodiesThatEndLateInADrain(t *testing.T) {
	t.Parallel()
	f := newAttachedFleet(t, func(s *settings.Attached) { s.Drain.Grace = 12 * time.Second })
	var posts []*slowPost
	for i, path := range sitePaths {
		posts = append(posts, beginPost(t, f.daemon.CallersAddress().String(), path+"x", fmt.Sprintf("Attempt-Id: r%d\r\nDeadline-Ms: 20000\r\nToken-Count: 100,50\r\n", i), site.Host))
	}
	f.stop()
	waittest.Until(t, "it is late in the drain", f.daemon.endsSoon)
	for i, p := range posts {
		if status, closes := p.end(); status != http.StatusServiceUnavailable || !closes {
			t.Errorf("%s: status %d, closes %t", sitePaths[i], status, closes)
		}
		if n := len(f.site.Account.Executions(fmt.Sprint("r", i))); n > 0 {
			t.Errorf("%s ran %d times", sitePaths[i], n)
		}
	}
}

// Guards against the same on the own interface.
func TestBodiesThatEndLateInADrainOfTheOwnInterface(t *testing.T) {
	t.Parallel()
	const limit = 12 * time.Second
	s := newServiceFixture(t)
	r, stop, _ := s.startReady("a", limit)
	p := beginPost(t, r.CallersAddress(), "/services/shop/orders", "Authorization: Bearer key\r\nIdempotency-Key: k\r\n", "a.example")
	stop()
	waittest.Until(t, "the drain has begun", r.draining.Load)
	time.Sleep(limit/3 + limit/20)
	if status, closes := p.end(); status < http.StatusInternalServerError || !closes {
		t.Errorf("status %d, closes %t", status, closes)
	}
	if len(s.arrived) > 0 {
		t.Error("the request was passed on")
	}
}

// drainClient sends orders over connections that it keeps open as long as the daemon does, and opens new ones, until the
// daemon accepts none.
type drainClient struct {
	f    *attachedFleet
	name string
	sent int
	// statuses are those of the responses, by the id of the order; 0 if its connection ended without one.
	statuses map[string]int
}

func (c *drainClient) run() {
	address := c.f.daemon.CallersAddress().String()
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		in := bufio.NewReader(conn)
		for c.order(conn, in) {
			time.Sleep(10 * time.Millisecond)
		}
		conn.Close()
	}
}

// order sends an order and reports whether the connection may be used again.
func (c *drainClient) order(conn net.Conn, in *bufio.Reader) bool {
	c.sent++
	id := fmt.Sprint(c.name, "-", c.sent)
	c.statuses[id] = 0
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nContent-Length: 5\r\n\r\norder", site.PathOrder, site.Host, id); err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	c.statuses[id] = resp.StatusCode
	return !resp.Close
}

// Guards against orders that are cut without an answer, run twice, or run although they were refused, when clients go on
// through a planned stop and the replicas do not answer from its middle on.
func TestOrdersThroughAPlannedStop(t *testing.T) {
	t.Parallel()
	f := newAttachedFleet(t, func(s *settings.Attached) { s.Drain.Notice, s.Drain.Grace = 2*time.Second, 6*time.Second })
	var clients []*drainClient
	var wg conc.WaitGroup
	for i := range 8 {
		c := &drainClient{f: f, name: fmt.Sprint("c", i), statuses: map[string]int{}}
		clients = append(clients, c)
		wg.Go(c.run)
	}
	waittest.Until(t, "orders are served", func() bool { return len(f.site.Account.Executions("c0-3")) > 0 })
	f.stop()
	waittest.Until(t, "not ready", func() bool { return f.readyStatus() == http.StatusServiceUnavailable })
	time.Sleep(time.Second) // the middle of the notice
	for _, name := range []string{"s0", "s1"} {
		f.upstreams[name].SetSilent(true)
		defer f.upstreams[name].SetSilent(false)
	}
	wg.Wait()
	counts := map[int]int{}
	for _, c := range clients {
		for id, status := range c.statuses {
			counts[status]++
			runs := len(f.site.Account.Executions(id))
			if runs > 1 || runs > 0 && (status == 0 || status == http.StatusServiceUnavailable) {
				t.Errorf("%s ran %d times and was answered %d", id, runs, status)
			}
		}
	}
	t.Logf("statuses: %v", counts)
	if counts[http.StatusOK] == 0 {
		t.Error("no order was served")
	}
}
