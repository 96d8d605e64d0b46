package site

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/rest"
)

// LeavingGrace is how long daemons may send requests to an upstream after its first response to them that
// says that it leaves, as the users require it.
const LeavingGrace = 2 * time.Second

// statements are what an upstream states about its availability, to whom, and the calls that reached
// it. Daemons are told apart by the IP addresses from which they connect. It is safe for concurrent
// use.
type statements struct {
	mu      sync.Mutex
	leaving bool
	rest    time.Duration // 0 for none
	callers map[string]*observedDaemon
}

// observedDaemon is what one daemon was told, and the calls that it made.
type observedDaemon struct {
	leavingAt time.Time // first response that said so; zero before
	rests     rest.Log  // counts all calls
	newWork   []time.Time
}

// SetLeaving sets whether all responses of the upstream say that it leaves.
func (u *Upstream) SetLeaving(leaving bool) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	u.statements.leaving = leaving
}

// SetRest makes the upstream reject requests, prefills, reservations and orders with 503 and ask for
// a time without requests; 0 ends that.
func (u *Upstream) SetRest(rest time.Duration) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	u.statements.rest = rest
}

// caller returns the record of the daemon that sent r; s.mu must be held.
func (s *statements) caller(r *http.Request) *observedDaemon {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		panic(err) // a bug in net/http
	}
	if s.callers == nil {
		s.callers = map[string]*observedDaemon{}
	}
	c := s.callers[host]
	if c == nil {
		c = &observedDaemon{}
		s.callers[host] = c
	}
	return c
}

// arrive records a call and returns the rest that it is to be told; 0 if the call is served.
func (s *statements) arrive(r *http.Request) (rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.caller(r)
	c.rests.Call()
	if r.Method == http.MethodDelete || r.URL.Path == "/corianderturn/report" {
		return 0
	}
	c.newWork = append(c.newWork, time.Now())
	return s.rest
}

// tellRest rejects a call and asks for rest.
func (s *statements) tellRest(w http.ResponseWriter, r *http.Request, rest time.Duration) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caller(r).rests.Told(rest)
}

// leavingHeader returns the header that says whether the upstream leaves, and records that the daemon
// was told.
func (s *statements) leavingHeader(r *http.Request) (value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return ""
	}
	if c := s.caller(r); c.leavingAt.IsZero() {
		c.leavingAt = time.Now()
	}
	return "1"
}

// statingWriter adds what an upstream states to its responses.
type statingWriter struct {
	http.ResponseWriter
	statements *statements
	request    *http.Request
	written    bool
}

// Unwrap is used by http.ResponseController.
func (w *statingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *statingWriter) WriteHeader(status int) {
	w.state(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statingWriter) Write(p []byte) (int, error) {
	w.state(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (w *statingWriter) FlushError() error {
	w.state(http.StatusOK)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// state adds the header once. A response with status 421 is not of the upstream that was meant.
func (w *statingWriter) state(status int) {
	if w.written || status == http.StatusMisdirectedRequest {
		return
	}
	w.written = true
	if value := w.statements.leavingHeader(w.request); value != "" {
		w.Header().Set("Server-Leaving", value)
	}
}

// lateCalls returns how many calls for new work came later than LeavingGrace after the daemon was told that
// the upstream leaves.
func (c *observedDaemon) lateCalls() (n int) {
	if c.leavingAt.IsZero() {
		return 0
	}
	for _, at := range c.newWork {
		if at.Sub(c.leavingAt) > LeavingGrace {
			n++
		}
	}
	return n
}

// LateCalls returns how many calls for new work reached the upstream from a daemon later than
// LeavingGrace after it was told that the upstream leaves, summed over all daemons.
func (u *Upstream) LateCalls() (n int) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	for _, c := range u.statements.callers {
		n += c.lateCalls()
	}
	return n
}

// MostCallsInRest returns the largest number of calls that reached the upstream from one daemon in a
// rest; see rest.Log.
func (u *Upstream) MostCallsInRest() (most int) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	for _, c := range u.statements.callers {
		most = max(most, c.rests.Most())
	}
	return most
}

// CallsAfterStatements returns what LateCalls and MostCallsInRest return, for the daemon that connects
// from an IP address, and when the rest with the most calls began and the first of these calls arrived.
func (u *Upstream) CallsAfterStatements(caller string) (late, inRest int, from, first time.Time) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	c := u.statements.callers[caller]
	if c == nil {
		return 0, 0, from, first
	}
	from, first = c.rests.Worst()
	return c.lateCalls(), c.rests.Most(), from, first
}

// ForgetTold forgets what a daemon was told, because it has started again.
func (u *Upstream) ForgetTold(caller string) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	delete(u.statements.callers, caller)
}

// ToldDaemons returns to how many daemons the upstream said that it leaves, and how many it asked for
// rest.
func (u *Upstream) ToldDaemons() (leaving, resting int) {
	u.statements.mu.Lock()
	defer u.statements.mu.Unlock()
	for _, c := range u.statements.callers {
		if !c.leavingAt.IsZero() {
			leaving++
		}
		if c.rests.Asked() {
			resting++
		}
	}
	return leaving, resting
}

// stated returns the header lines that an upstream adds to a response that it writes itself.
func (s *statements) stated(r *http.Request) string {
	if value := s.leavingHeader(r); value != "" {
		return "Server-Leaving: " + value + "\r\n"
	}
	return ""
}
