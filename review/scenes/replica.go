package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a replica writes its entry, as in the settings.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of one replica of a service: of a plain one if stage is empty, else a model engine.
type replica struct {
	id, service, stage, zone string
	slots                    int
	work                     time.Duration // of a plain request
	events                   int           // of a stream
	// pauseBefore is the event before which an engine preempts a stream, and pause for how long. With comments it
	// sends a comment line meanwhile.
	pauseBefore int
	pause       time.Duration
	comments    bool

	t       *trial
	address string
	server  *http.Server

	mu     sync.Mutex
	active int
	seq    int
	lastID int
	orders int
}

// start listens on loopback and registers the replica until the trial ends.
func (p *replica) start(t *trial) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.t, p.address = t, ln.Addr().String()
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(ln) }()
	p.register()
	go func() {
		for range time.Tick(heartbeat) {
			p.register()
		}
	}()
	return nil
}

func (p *replica) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	entry := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": "in_service", "cold_left_ms": 0, "seq_no": p.seq,
	}
	if p.stage != "" {
		entry["stage"], entry["models"] = p.stage, p.models()
	}
	p.t.store.put(topicServer, p.id, entry)
}

func (p *replica) models() []any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		w.Header().Set("Attempt-Id", attempt)
	}
	w.Header().Set("Instance-Id", p.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch path := r.URL.Path; {
	case path == "/health":
	case path == "/corianderturn/report":
		p.report(w)
	case path == "/corianderturn/hold-take":
		writeJSON(w, map[string]any{"hold": p.newID()})
	case strings.HasPrefix(path, "/corianderturn/hold-drop/"), strings.HasPrefix(path, "/corianderturn/kv-handle/"):
	case path == "/corianderturn/order":
		p.mu.Lock()
		p.orders++
		p.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest) // these engines keep their stage
	case r.Header.Get("Serving-Stage") == "prefill":
		writeJSON(w, map[string]any{"kv_handle": p.newID(), "tokens": 100, "version": 1})
	case p.stage == "":
		p.servePlain(w, r, body)
	default:
		p.serveStream(w, r)
	}
}

func (p *replica) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": p.stage, "models": p.models(), "busy": false, "seq_no": p.orders, "waiting": 0, "active_reqs": p.active,
		"kv_used": 0, "kv_total": 30222, "kv_handles": 0,
	})
}

func (p *replica) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.id + "-" + strconv.Itoa(p.lastID)
}

// begin counts a request that runs, and returns the function that ends it.
func (p *replica) begin() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.active--
	}
}

// servePlain works for a while and answers. It drops the request when its channel closes.
func (p *replica) servePlain(w http.ResponseWriter, r *http.Request, body []byte) {
	defer p.begin()()
	attempt := r.Header.Get("Attempt-Id")
	p.t.ran(run{attempt: attempt, replica: p.id, service: p.service, request: r.Method + " " + r.RequestURI, at: time.Now()})
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.t.ended(attempt, "cut")
		return
	}
	w.Header().Set("Server-Seal", "seal."+p.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", p.active, p.slots))
	p.t.ended(attempt, "ok")
	_, _ = fmt.Fprintf(w, "%s answers %s %s (%d bytes in)", p.service, r.Method, r.RequestURI, len(body))
}

// serveStream sends the events after the one that the caller has.
func (p *replica) serveStream(w http.ResponseWriter, r *http.Request) {
	defer p.begin()()
	attempt := r.Header.Get("Attempt-Id")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.t.ran(run{attempt: attempt, replica: p.id, service: p.service, request: r.Method + " " + r.RequestURI, at: time.Now()})
	w.Header().Set("Server-Seal", "seal."+p.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first + 1; i <= p.events; i++ {
		if i == p.pauseBefore {
			p.preempt(w, rc)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, attempt)
		if rc.Flush() != nil || r.Context().Err() != nil {
			p.t.ended(attempt, "cut")
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.t.ended(attempt, "ok")
}

// preempt pauses in a stream, as an engine does whose memory others need. Half way it tells the reader that it is alive,
// by a comment.
func (p *replica) preempt(w io.Writer, rc *http.ResponseController) {
	time.Sleep(p.pause / 2)
	if p.comments {
		_, _ = io.WriteString(w, ": keep-alive\n\n")
		_ = rc.Flush()
	}
	time.Sleep(p.pause / 2)
}
