package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents = 72
	eventPause   = 25 * time.Millisecond
	engineSlots  = 12
)

// engine is a model replica in a process of its own.
type engine struct {
	id, stage     string
	born          int64
	unframedEvery int // each such stream has no length and no chunks, and ends with its channel; 0: none

	mu      sync.Mutex
	next    int
	active  int
	holds   map[string]time.Time
	handles map[string]time.Time
	streams int
}

// runEngine runs the subcommand engine. It writes a line to standard output for each run.
func runEngine(args []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engine{holds: map[string]time.Time{}, handles: map[string]time.Time{}}
	f.StringVar(&e.id, "id", "", "id")
	f.StringVar(&e.stage, "stage", "decode", "stage")
	f.IntVar(&e.unframedEvery, "unframed", 0, "each such stream is unframed")
	f.Int64Var(&e.born, "born", 0, "start time")
	address := f.String("address", "", "address")
	_ = f.Parse(args)
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	_ = http.Serve(ln, e)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	switch path := strings.TrimPrefix(r.URL.Path, "/corianderturn/"); {
	case path == "hold-take":
		e.take(w)
	case strings.HasPrefix(path, "hold-drop/"):
		e.drop(e.holds, strings.TrimPrefix(path, "hold-drop/"))
		reply(w, http.StatusOK, map[string]any{})
	case strings.HasPrefix(path, "kv-handle/"):
		e.drop(e.handles, strings.TrimPrefix(path, "kv-handle/"))
		reply(w, http.StatusOK, map[string]any{})
	case path == "report":
		e.report(w)
	case path == "order":
		reply(w, http.StatusConflict, map[string]any{})
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Server-Load", e.load())
	case r.Header.Get("Serving-Stage") == "prefill":
		e.prefill(w)
	default:
		e.stream(w, id, r.Header.Get("Kv-Hold"))
	}
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) newName() string {
	e.next++
	return fmt.Sprintf("%s-%d-%d", e.id, os.Getpid(), e.next)
}

func (e *engine) take(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, until := range e.holds {
		if time.Now().After(until) {
			delete(e.holds, id)
		}
	}
	if e.active+len(e.holds) >= engineSlots {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := e.newName()
	e.holds[id] = time.Now().Add(2 * time.Second)
	reply(w, http.StatusOK, map[string]any{"hold": id})
}

func (e *engine) drop(from map[string]time.Time, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(from, id)
}

func (e *engine) load() string { return fmt.Sprintf("%d,0,%d", e.active, engineSlots) }

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq_no": 0,
		"born": e.born, "waiting": 0, "active_reqs": e.active, "kv_used": 3000 * e.active, "kv_total": 144611, "kv_handles": len(e.handles),
	})
}

func (e *engine) prefill(w http.ResponseWriter) {
	if e.stage != "prefill" {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(60 * time.Millisecond)
	e.mu.Lock()
	id := e.newName()
	e.handles[id] = time.Now()
	e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"kv_handle": id, "tokens": 3000, "version": 1})
}

// stream runs a request. It sends one event for each token.
func (e *engine) stream(w http.ResponseWriter, id, hold string) {
	e.mu.Lock()
	full := e.active >= engineSlots
	if !full {
		e.active++
		e.streams++
	}
	unframed := e.unframedEvery > 0 && e.streams%e.unframedEvery == 0
	delete(e.holds, hold)
	e.mu.Unlock()
	if full || e.stage == "prefill" {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	fmt.Printf("%s runs %s, unframed=%t\n", e.id, id, unframed)
	if unframed {
		e.streamUnframed(w, id)
		return
	}
	w.Header().Set("Server-Seal", "seal."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= streamEvents; i++ {
		if _, err := io.WriteString(w, event(id, i)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// streamUnframed is stream for an answer that ends with its channel.
func (e *engine) streamUnframed(w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal." + e.id + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for i := 1; i <= streamEvents; i++ {
		if _, err := io.WriteString(c, event(id, i)); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

func event(id string, i int) string {
	text, _ := json.Marshal(fmt.Sprintf("piece %d of %d for %s", i, streamEvents, id))
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, text)
}
