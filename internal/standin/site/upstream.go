package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults of one upstream; the zero value is none.
type Faults struct {
	// Dark answers nothing until the caller leaves.
	Dark bool
	// Shed refuses requests, truthfully: they are not run.
	Shed bool
	// Reset runs a request and breaks the connection off in place of an answer.
	Reset bool
	// Status, when set, is the answer of requests that ran.
	Status int
	// Cut breaks a stream off after so many events; 0 lets it end.
	Cut int
	// Misplaced answers for another upstream at the same address.
	Misplaced bool
	// LapsedHandles refuses every result of a prefill.
	LapsedHandles bool
	// Full refuses reservations.
	Full bool
}

// heldTime is how long a reservation or the result of a prefill is held at most.
const heldTime = 3 * time.Second

// Upstream is one engine or plain service.
type Upstream struct {
	Name    string
	Service string
	Zone    string
	// Events is how many events a stream has, and Pause the time between two.
	Events int
	Pause  time.Duration

	account *Account
	limit   rateLimit
	server  *http.Server
	gone    bool // it ended; its site's lock guards this
	mu      sync.Mutex
	role    string
	faults  Faults
	holds   map[string]time.Time // until when
	handles map[string]time.Time
	next    int
	orders  uint64
	active  int
	address string
	// public is the address that is registered, when that of something in between.
	public string
}

// SetFaults changes the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Held returns how many reservations and results of prefills are held for nobody.
func (u *Upstream) Held() (reservations, handles int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, held := range []map[string]time.Time{u.holds, u.handles} {
		for id, until := range held {
			if now.After(until) {
				delete(held, id)
			}
		}
	}
	return len(u.holds), len(u.handles)
}

// Active returns how many requests run now.
func (u *Upstream) Active() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.active
}

// Role returns the role of an engine.
func (u *Upstream) Role() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.role
}

// SetPublic makes the upstream known by another address than its own from its next
// registration on.
func (u *Upstream) SetPublic(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.public = address
}

// registered returns the address under which it is known.
func (u *Upstream) registered() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.public != "" {
		return u.public
	}
	return u.address
}

// Address returns where the upstream listens.
func (u *Upstream) Address() string { return u.address }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon broke off
	}
	u.limit.arrived(w, r)
	if r.Header.Get(headerKey) != "" {
		u.account.gotKey(r.Header.Get("Attempt-Id"))
	}
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	if f.Dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); f.Misplaced || want != "" && want != u.Name {
		u.rejected(r)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/corianderturn/hold-take":
		u.reserve(w, f)
	case strings.HasPrefix(r.URL.Path, "/corianderturn/hold-drop/"), strings.HasPrefix(r.URL.Path, "/corianderturn/kv-handle/"):
		u.free(w, r)
	case r.URL.Path == "/corianderturn/report":
		u.report(w)
	case r.URL.Path == "/corianderturn/order":
		u.order(w, body)
	case r.Header.Get("Serving-Stage") == "prefill":
		u.prefill(w, r, body)
	default:
		u.run(w, r, body, f)
	}
}

func (u *Upstream) name() string {
	u.next++
	return u.Name + "-" + strconv.Itoa(u.next)
}

func (u *Upstream) reserve(w http.ResponseWriter, f Faults) {
	if f.Full {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.mu.Lock()
	id := u.name()
	u.holds[id] = time.Now().Add(heldTime)
	u.mu.Unlock()
	writeJSON(w, map[string]any{"hold": id})
}

func (u *Upstream) free(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, hold := u.holds[id]; !hold && u.handles[id].IsZero() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(u.holds, id)
	delete(u.handles, id)
}

func (u *Upstream) report(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, map[string]any{"stage": u.role, "busy": false, "seq_no": u.orders, "active_reqs": u.active})
}

func (u *Upstream) order(w http.ResponseWriter, body []byte) {
	var c struct {
		Stage    string  `json:"stage"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.Expected != nil && *c.Expected != u.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	u.role = c.Stage
	u.orders++
	w.WriteHeader(http.StatusAccepted)
}

// rejected counts a request that is not worked on; the calls that engines have besides bear
// no id of a request.
func (u *Upstream) rejected(r *http.Request) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		u.account.arrived(id, u.Service)
	}
}

func (u *Upstream) prefill(w http.ResponseWriter, r *http.Request, body []byte) {
	u.account.reached(string(body))
	u.account.read(r.Header.Get("Attempt-Id"), u.Service)
	u.mu.Lock()
	id := u.name()
	u.handles[id] = time.Now().Add(heldTime)
	u.mu.Unlock()
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	writeJSON(w, map[string]any{"kv_handle": id, "tokens": 100, "version": 1})
}

// refuse promises that a request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	id := r.Header.Get("Attempt-Id")
	if f.Shed || r.Header.Get("Kv-Source") != "" && f.LapsedHandles {
		u.rejected(r)
		refuse(w)
		return
	}
	u.account.arrived(id, u.Service)
	u.account.reached(string(body))
	u.mu.Lock()
	delete(u.holds, r.Header.Get("Kv-Hold"))
	u.active++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.active--
		u.mu.Unlock()
	}()
	u.account.ran(id, Run{Upstream: u.Name, Body: string(body), From: r.Header.Get("Last-Event-Id"), Team: r.Header.Get(headerTeam)})
	if source := r.Header.Get("Kv-Source"); source != "" {
		u.account.site.take(source)
	}
	if f.Reset || u.account.site.end(u, string(body)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal-of-"+u.Name)
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		_, _ = io.WriteString(w, "failed")
		return
	}
	if u.Events == 0 {
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	u.stream(w, r, f)
}

// stream writes the events behind the last one that the caller has.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, f Faults) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first + 1; i <= u.Events; i++ {
		if f.Cut > 0 && i-first > f.Cut {
			_, _ = io.WriteString(w, "id: ") // in the middle of an event
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, Event(r.Header.Get("Attempt-Id"), i))
		if rc.Flush() != nil {
			return // the daemon broke off
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(u.Pause):
		}
	}
}

// Event returns the bytes of one event of a request's stream.
func Event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i) }

// Stream returns the bytes of a whole stream of n events.
func Stream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Event(id, i))
	}
	return b.String()
}
