package site

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// holdTTL is the time to live of a reservation or a prefill result.
const holdTTL = 3 * time.Second

// pathHealth is the path of the health check of plain services.
const pathHealth = "/health"

// Upstream is a simulated engine or plain service.
type Upstream struct {
	Name    string
	Service string
	Zone    string
	// Events is the number of events of a stream; 0 means a response without a
	// stream. Pause is the time between two events.
	Events int
	Pause  time.Duration

	account      *Recorder
	limit        rateLimit
	statements   statements
	server       *http.Server
	conns        openConns
	silence      silence
	flood        flood
	flooded      atomic.Int64
	crashed      bool // guarded by the mutex of the site
	mu           sync.Mutex
	role         string
	faults       Faults
	standing     Faults               // used while faults sets none
	reports      int                  // report calls while Faults.CutReports is set
	reservations map[string]time.Time // expiry by id
	kvHandles    map[string]time.Time // expiry of prefill results by id
	lastID       int                  // number in the last id given out
	roleChanges  uint64               // number of orders applied
	active       int
	version      string // of the software
	born         int64  // start in Unix milliseconds; 0 if it is not reported
	sequence     uint64 // number of registrations since the start
	restarting   bool   // requests get no response
	address      string
	// publicAddress is the address to register instead of address, if not empty, for
	// example that of a proxy in front of the upstream.
	publicAddress string
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// SetStandingFaults replaces the faults that the upstream has while SetFaults sets none.
func (u *Upstream) SetStandingFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.standing = f
}

// currentFaults returns the faults in force; u.mu must be held.
func (u *Upstream) currentFaults() Faults {
	if u.faults == (Faults{}) {
		return u.standing
	}
	return u.faults
}

// SetSilent begins or ends a silence: the upstream accepts connections and reads requests, but what
// it writes is held back until the silence ends, and then goes out.
func (u *Upstream) SetSilent(silent bool) { u.silence.set(silent) }

// Held returns the number of reservations and of prefill results that are neither
// used nor freed nor expired.
func (u *Upstream) Held() (reservations, handles int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, held := range []map[string]time.Time{u.reservations, u.kvHandles} {
		for id, until := range held {
			if now.After(until) {
				delete(held, id)
			}
		}
	}
	return len(u.reservations), len(u.kvHandles)
}

// Active returns the number of requests in progress.
func (u *Upstream) Active() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.active
}

// Role returns the role of an engine, which is empty for a plain service.
func (u *Upstream) Role() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.role
}

// Version returns the version of the upstream's software.
func (u *Upstream) Version() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.version
}

// SetVersion sets the version of the software for the events from now on and the next registration.
// Events of the default version do not name it.
func (u *Upstream) SetVersion(version string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.version = version
}

// restartTime is how long a restart takes. A process that was asked a moment ago is never another one
// at once.
const restartTime = 20 * time.Millisecond

// Restart ends the upstream's connections and lets it start again at its address, under its name,
// with a version of the software. It then holds nothing of before. Register tells the store. Restart
// returns when the upstream serves again.
func (u *Upstream) Restart(version string) {
	u.setRestarting(true)
	u.conns.closeAll()
	time.Sleep(restartTime)
	u.mu.Lock()
	u.version = version
	u.born = max(u.born+1, time.Now().UnixMilli())
	u.reservations, u.kvHandles, u.roleChanges, u.sequence = map[string]time.Time{}, map[string]time.Time{}, 0, 0
	u.mu.Unlock()
	u.setRestarting(false)
}

func (u *Upstream) setRestarting(restarting bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restarting = restarting
}

// SetPublic sets the address for the next registration of the upstream, for example
// that of a proxy.
func (u *Upstream) SetPublic(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.publicAddress = address
}

// registeredAddress returns the address to register for the upstream.
func (u *Upstream) registeredAddress() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.publicAddress != "" {
		return u.publicAddress
	}
	return u.address
}

// Address returns the address at which the upstream listens.
func (u *Upstream) Address() string { return u.address }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon closed the connection
	}
	u.limit.recordArrival(w, r)
	if r.Header.Get(headerKey) != "" {
		u.account.recordKey(r.Header.Get("Attempt-Id"))
	}
	u.mu.Lock()
	f, restarting := u.currentFaults(), u.restarting
	u.mu.Unlock()
	if restarting {
		panic(http.ErrAbortHandler)
	}
	if f.Dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	sw := &statingWriter{ResponseWriter: w, statements: &u.statements, request: r}
	w = sw
	if f.Load != "" {
		w.Header().Set("Server-Load", f.Load)
	}
	if want := r.Header.Get("Expect-Instance"); f.Misplaced || want != "" && want != u.Name {
		u.recordRejected(r)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rest := u.statements.arrive(r); rest > 0 {
		u.recordRejected(r)
		u.statements.tellRest(w, r, rest)
		return
	}
	switch {
	case u.serveSlowRefusal(w, r, f):
	case engineCall(r) && u.serveEndlessReply(w, r, f):
	case r.URL.Path == "/corianderturn/hold-take":
		u.serveReserve(w, f)
	case strings.HasPrefix(r.URL.Path, "/corianderturn/hold-drop/"), strings.HasPrefix(r.URL.Path, "/corianderturn/kv-handle/"):
		u.serveRelease(w, r)
	case r.URL.Path == "/corianderturn/report":
		time.Sleep(f.ReportAfter)
		u.serveReport(w)
	case r.URL.Path == pathHealth:
		w.Header().Set("Instance-Id", u.Name)
	case r.URL.Path == "/corianderturn/order":
		u.serveOrder(w, body)
	case r.Header.Get("Serving-Stage") == "prefill":
		u.servePrefill(w, r, body, f)
	default:
		u.serveRequest(w, r, body, f)
	}
	sw.state(http.StatusOK) // if nothing has been written
}

// recordRejected records the arrival of a request that is rejected. Calls without a
// request id, such as reports and orders, are not recorded.
func (u *Upstream) recordRejected(r *http.Request) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		u.account.recordArrival(id, u.Service)
	}
}

// recordReach records that a request or a prefill reached the upstream, by its body and by the part
// of its prompt that crashes engines.
func (u *Upstream) recordReach(r *http.Request, body []byte) {
	u.account.recordReach(string(body))
	if part, _ := u.account.site.fatalPart(r); part != "" {
		u.account.recordReach(part)
	}
}

// writeNotExecuted replies with 503 and the header that guarantees that the request
// was not executed.
func writeNotExecuted(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveRequest executes a request and sends its response, subject to the faults.
func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	id := r.Header.Get("Attempt-Id")
	if f.Shed || rand.Float64() < f.ShedShare || r.Header.Get("Kv-Source") != "" && f.LapsedHandles {
		u.recordRejected(r)
		writeNotExecuted(w)
		return
	}
	u.account.recordArrival(id, u.Service)
	u.recordReach(r, body)
	u.mu.Lock()
	delete(u.reservations, r.Header.Get("Kv-Hold"))
	u.active++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.active--
		u.mu.Unlock()
	}()
	run := Execution{Upstream: u.Name, Body: string(body), From: r.Header.Get("Last-Event-Id"), Team: r.Header.Get(headerTeam), Version: u.Version()}
	if source := r.Header.Get("Kv-Source"); source != "" {
		run.PrefillVersion = u.account.site.releaseHandle(source)
	}
	u.account.recordExecution(id, run)
	if f.Reset || u.account.site.crashIfFatal(u, string(body)) {
		panic(http.ErrAbortHandler)
	}
	fatalPart, eventsBefore := u.account.site.fatalPart(r)
	if fatalPart != "" && eventsBefore == 0 {
		u.account.site.crashOnPart(u, fatalPart)
		panic(http.ErrAbortHandler)
	}
	if f.Unframed {
		u.serveUnframed(w, r, f)
		return
	}
	w.Header().Set("Server-Seal", "seal-of-"+u.Name)
	if u.serveEndless(w, r, f) {
		return
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		_, _ = io.WriteString(w, "failed")
		return
	}
	if u.Events == 0 {
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		writeMore(w, r)
		return
	}
	u.streamEvents(w, r, f)
}

// HeaderAnswerBytes is the header by which a client asks a plain service for a longer answer, by this many bytes.
const HeaderAnswerBytes = "Answer-Bytes"

// writeMore writes the bytes that a client asks for.
func writeMore(w io.Writer, r *http.Request) {
	n, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err == nil {
		_, _ = w.Write(make([]byte, n)) // fails if the daemon closes the connection
	}
}

// serveUnframed answers without a length or chunks and then closes the connection.
func (u *Upstream) serveUnframed(w http.ResponseWriter, r *http.Request, f Faults) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // a bug in this package
	}
	defer conn.Close()
	version := u.Version() // of the process that serves this request, which Restart ends
	id := r.Header.Get("Attempt-Id")
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-of-%s\r\n%sConnection: close\r\n\r\n", id, u.Name, u.statements.stated(r))
	defer buf.Flush()
	if u.Events == 0 {
		answer := fmt.Sprintf("answer to %s", id)
		if f.CrashAt > 0 {
			answer = answer[:len(answer)/2]
			u.account.site.Crash(u)
		}
		_, _ = io.WriteString(buf, answer)
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= u.Events; i++ {
		if first == 0 && f.CrashAt > 0 && i > f.CrashAt {
			u.account.site.Crash(u)
			return
		}
		_, _ = io.WriteString(buf, versionedEvent(id, i, version))
		if buf.Flush() != nil {
			return // the daemon closed the connection
		}
	}
}

// streamEvents writes the events after the one in the request's Last-Event-Id.
func (u *Upstream) streamEvents(w http.ResponseWriter, r *http.Request, f Faults) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	version := u.Version() // of the process that serves this request, which Restart ends
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	if f.FirstEventAfter > 0 {
		_ = rc.Flush() // fails only if the daemon closed the connection
		select {
		case <-r.Context().Done():
			return
		case <-time.After(f.FirstEventAfter):
		}
	}
	fatalPart, eventsBefore := u.account.site.fatalPart(r)
	for i := first + 1; i <= u.Events; i++ {
		if fatalPart != "" && i-first > eventsBefore {
			u.account.site.crashOnPart(u, fatalPart)
			panic(http.ErrAbortHandler)
		}
		if f.Cut > 0 && i-first > f.Cut {
			_, _ = io.WriteString(w, "id: ") // the beginning of an event
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, versionedEvent(r.Header.Get("Attempt-Id"), i, version))
		if rc.Flush() != nil {
			return // the daemon closed the connection
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(u.Pause):
		}
	}
}
