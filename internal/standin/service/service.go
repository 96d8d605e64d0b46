// Package service is a stand-in for a plain service, for tests and trials. GET
// and HEAD are look-ups, answered from the path alone; every other method
// executes. It honours no idempotency key, so that a call that was sent twice
// is executed twice and shows in its executions.
package service

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/internal/standin/fault"
	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// DefaultSlots bounds the calls in progress.
	DefaultSlots = 64
	// MaxExecutions bounds the executions that are listed; all are counted.
	MaxExecutions = 1 << 17
	// HeaderLoad is the answer header that reports the load.
	HeaderLoad = "X-Load"
	// HeaderLimit is the answer header that names a rate limit.
	HeaderLimit = "X-Rate-Limit"
	// HeaderKey is the caller's idempotency key, which the service only records.
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID is the request's id, which the service repeats in its answer.
	HeaderRequestID = "X-Request-Id"
	// pathLoad, beside engineapi.PathLoad, is not the service's own.
	pathLoad = "/load"
)

// Config sets up a service. The kong tags make it the flags of `standin service`.
type Config struct {
	Slots int           `help:"Calls that may be in progress." default:"64"`
	Work  time.Duration `help:"Time that an execution takes." default:"0s"`
}

// Faults are the faults that a test can set on a service; the zero value is none.
type Faults struct {
	// Refuse answers 503 with a Refusal and does nothing.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving does the same and says that the service is going away.
	Leaving bool `json:"leaving,omitempty"`
	// StallBefore holds a call before it has any effect, StallAfter after it.
	StallBefore bool `json:"stall_before,omitempty"`
	StallAfter  bool `json:"stall_after,omitempty"`
	// CutBefore cuts the connection before the call has any effect, CutAfter after it.
	CutBefore bool `json:"cut_before,omitempty"`
	CutAfter  bool `json:"cut_after,omitempty"`
	// Crossed answers under another request's id.
	Crossed bool `json:"crossed,omitempty"`
	// Fail executes and then answers 500.
	Fail bool `json:"fail,omitempty"`
	// DelayMS delays every answer, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Limit is the rate limit that every answer names, in requests a second; 0 is none.
	Limit float64 `json:"limit,omitempty"`
}

// Lookup is the answer to a look-up. It depends on the path alone.
type Lookup struct {
	Path  string `json:"path"`
	Value string `json:"value"`
}

// Confirmation is the answer to an execution. Its number is unique for each execution.
type Confirmation struct {
	Confirmation string `json:"confirmation"`
	Path         string `json:"path"`
}

// Execution is one call that took effect.
type Execution struct {
	Confirmation string `json:"confirmation"`
	RequestID    string `json:"request_id"`
	Key          string `json:"key"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	BodyHash     uint64 `json:"body_hash"`
}

// Executions lists the calls that took effect, the oldest first. Total counts
// also those that are no longer listed.
type Executions struct {
	Total      int         `json:"total"`
	Executions []Execution `json:"executions"`
}

// ByKey returns how many of the listed executions carried an idempotency key.
func (e Executions) ByKey(key string) int {
	n := 0
	for _, x := range e.Executions {
		if x.Key == key {
			n++
		}
	}
	return n
}

// Stats are the service's counters since its start or the last reset.
type Stats struct {
	Lookups    int `json:"lookups"`
	Executions int `json:"executions"`
	Refusals   int `json:"refusals"`
	Active     int `json:"active"`
}

// Service is safe for concurrent use. Close releases stalled calls.
type Service struct {
	cfg         Config
	faults      *fault.Box[Faults]
	incarnation uint64
	leaving     bool // the last load told so
	closed      chan struct{}

	mu    sync.Mutex
	stats Stats
	list  []Execution
	total int
	seq   uint64
}

// New returns a service.
func New(cfg Config) *Service {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	return &Service{
		cfg:         cfg,
		faults:      fault.NewBox[Faults](),
		incarnation: rand.Uint64(),
		closed:      make(chan struct{}),
	}
}

// Close cuts the calls that faults hold. Call it once.
func (s *Service) Close() { close(s.closed) }

// Handler returns the service itself: every path is its own but /load and the
// engines' path of the same meaning, for pollers that treat all upstreams alike.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLoad || r.URL.Path == engineapi.PathLoad {
			httpjson.Write(w, http.StatusOK, s.Load())
			return
		}
		s.serve(w, r)
	})
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpjson.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.enter() {
		s.refuse(w)
		return
	}
	defer s.leave()
	s.before(r)
	s.identify(w, r)
	faults := s.faults.Get()
	httpjson.Sleep(time.Duration(faults.DelayMS)*time.Millisecond, s.closed)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.lookup(w, r)
		return
	}
	httpjson.Sleep(s.cfg.Work, s.closed)
	confirmation := s.execute(r, body)
	s.after(r)
	status := http.StatusOK
	if s.hit(func(f Faults) bool { return f.Fail }) {
		status = http.StatusInternalServerError
	}
	s.answer(w, status, confirmation)
}

// enter takes a slot unless the service is full or is to refuse.
func (s *Service) enter() bool {
	refuse := s.hit(func(f Faults) bool { return f.Refuse || f.Leaving })
	s.mu.Lock()
	defer s.mu.Unlock()
	if refuse || s.stats.Active >= s.cfg.Slots {
		s.stats.Refusals++
		return false
	}
	s.stats.Active++
	return true
}

// identify repeats the request's id in the answer, so that a caller can check
// that the answer is its own.
func (s *Service) identify(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		return
	}
	if s.hit(func(f Faults) bool { return f.Crossed }) {
		id = "crossed-" + id
	}
	w.Header().Set(HeaderRequestID, id)
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Active--
}

func (s *Service) refuse(w http.ResponseWriter) {
	load := s.Load()
	body := engineapi.Refusal{Reason: "no capacity", Leaving: load.Leaving, Load: load}
	if load.Leaving {
		body.Reason = "leaving"
	}
	s.answer(w, http.StatusServiceUnavailable, body)
}

// before applies the faults that come before a call has any effect.
func (s *Service) before(r *http.Request) {
	if s.hit(func(f Faults) bool { return f.StallBefore }) {
		httpjson.Stall(r, s.closed)
	}
	if s.hit(func(f Faults) bool { return f.CutBefore }) {
		httpjson.Cut()
	}
}

// after applies the faults that lose the answer of a call that took effect.
func (s *Service) after(r *http.Request) {
	if s.hit(func(f Faults) bool { return f.StallAfter }) {
		httpjson.Stall(r, s.closed)
	}
	if s.hit(func(f Faults) bool { return f.CutAfter }) {
		httpjson.Cut()
	}
}

func (s *Service) hit(match func(Faults) bool) bool {
	_, ok := s.faults.Hit(match)
	return ok
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stats.Lookups++
	s.mu.Unlock()
	s.after(r)
	s.answer(w, http.StatusOK, LookupOf(r.URL.Path))
}

// LookupOf returns the answer to a look-up of path.
func LookupOf(path string) Lookup {
	return Lookup{Path: path, Value: fmt.Sprintf("%016x", xxhash.Sum64String(path))}
}

func (s *Service) execute(r *http.Request, body []byte) Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.stats.Executions++
	x := Execution{
		Confirmation: fmt.Sprintf("%016x-%d", s.incarnation, s.total),
		RequestID:    r.Header.Get(HeaderRequestID),
		Key:          r.Header.Get(HeaderKey),
		Method:       r.Method,
		Path:         r.URL.Path,
		BodyHash:     xxhash.Sum64(body),
	}
	if len(s.list) < MaxExecutions {
		s.list = append(s.list, x)
	}
	return Confirmation{Confirmation: x.Confirmation, Path: x.Path}
}

func (s *Service) answer(w http.ResponseWriter, status int, v any) {
	l := s.Load()
	w.Header().Set(HeaderLoad, fmt.Sprintf("active=%d slots=%d leaving=%t incarnation=%d seq=%d",
		l.Active, l.Slots, l.Leaving, l.Incarnation, l.Seq))
	if limit := s.faults.Get().Limit; limit > 0 {
		w.Header().Set(HeaderLimit, strconv.FormatFloat(limit, 'g', -1, 64))
	}
	httpjson.Write(w, status, v)
}

// Load returns the service's load now. A service that told of its leaving and does
// not leave any more is a new life of it: no service takes its leaving back, and
// daemons may believe it for as long as the life lasts.
func (s *Service) Load() engineapi.Load {
	leaving := s.faults.Get().Leaving
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && !leaving {
		s.incarnation, s.seq = rand.Uint64(), 0
	}
	s.leaving = leaving
	s.seq++
	return engineapi.Load{
		Incarnation: s.incarnation,
		Seq:         s.seq,
		Slots:       s.cfg.Slots,
		Active:      s.stats.Active,
		Leaving:     leaving,
	}
}

// Executions returns the calls that took effect.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{Total: s.total, Executions: append([]Execution{}, s.list...)}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// SetFaults replaces the faults; times limits the calls hit, 0 means no limit.
func (s *Service) SetFaults(f Faults, times int) { s.faults.Set(f, times) }

func (s *Service) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats = Stats{Active: s.stats.Active}
	s.list, s.total = nil, 0
}

// Control returns the fault control API; beside the common paths it has
// GET /executions.
func (s *Service) Control() http.Handler {
	rt := fault.Router(s.faults, fault.Hooks{
		Stats: func() any { return s.Stats() },
		Reset: s.reset,
	})
	rt.HandlerFunc(http.MethodGet, "/executions", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executions())
	})
	return rt
}
