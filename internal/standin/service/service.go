// Package service simulates a plain HTTP service for tests and trials. GET and
// HEAD requests are look-ups, whose answer depends only on the path; a request
// with any other method is executed and recorded. The service ignores idempotency
// keys, so a request that is sent twice is recorded as two executions.
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
	"github.com/corianderturn/corianderturn/internal/standin/rest"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// DefaultSlots is the number of calls that may be in progress.
	DefaultSlots = 64
	// MaxExecutions is the number of executions that are listed; all are counted.
	MaxExecutions = 1 << 17
	// HeaderLoad is the response header with the load of the service.
	HeaderLoad = "X-Load"
	// HeaderLimit is the response header with the service's rate limit, in requests
	// per second.
	HeaderLimit = "X-Rate-Limit"
	// HeaderKey is the request header with the client's idempotency key, which the
	// service only records.
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID is the request header with the id of the request. The service
	// repeats it in the response.
	HeaderRequestID = "X-Request-Id"
	// pathLoad returns the load, as does engineapi.PathLoad. All other paths are
	// look-ups or executions.
	pathLoad = "/load"
)

// Config configures a service. Package kong derives the flags of
// `standin service` from its fields and tags.
type Config struct {
	Slots int           `help:"Number of calls that may be in progress." default:"64"`
	Work  time.Duration `help:"Time that an execution takes." default:"0s"`
}

// Faults are the faults that a test can set on a service. The zero value sets none.
type Faults struct {
	// Refuse replies with 503 and a Refusal and does not execute the call.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving refuses calls like Refuse and reports that the service is shutting
	// down.
	Leaving bool `json:"leaving,omitempty"`
	// StallBefore never replies to a call and does not execute it; StallAfter
	// executes it and then never replies.
	StallBefore bool `json:"stall_before,omitempty"`
	StallAfter  bool `json:"stall_after,omitempty"`
	// CutBefore closes the connection before the call is executed, CutAfter
	// afterwards.
	CutBefore bool `json:"cut_before,omitempty"`
	CutAfter  bool `json:"cut_after,omitempty"`
	// Crossed replies with the id of another request.
	Crossed bool `json:"crossed,omitempty"`
	// Fail executes the call and then replies with 500.
	Fail bool `json:"fail,omitempty"`
	// DelayMS delays the reply to every call that is not refused, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// RestMS refuses calls and asks for this many milliseconds without calls (Retry-After).
	RestMS int64 `json:"rest_ms,omitempty"`
	// Limit is the rate limit that every reply reports, in requests per second; 0
	// means that none is reported.
	Limit float64 `json:"limit,omitempty"`
}

// Lookup is the answer to a look-up. It depends only on the path.
type Lookup struct {
	Path  string `json:"path"`
	Value string `json:"value"`
}

// Confirmation is the answer to an execution. Its Confirmation field is unique for
// each execution.
type Confirmation struct {
	Confirmation string `json:"confirmation"`
	Path         string `json:"path"`
}

// Execution is one call that was executed.
type Execution struct {
	Confirmation string `json:"confirmation"`
	RequestID    string `json:"request_id"`
	Key          string `json:"key"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	BodyHash     uint64 `json:"body_hash"`
}

// Executions lists the calls that were executed, the oldest first. Total also
// counts those beyond the first MaxExecutions, which are not listed.
type Executions struct {
	Total      int         `json:"total"`
	Executions []Execution `json:"executions"`
}

// ByKey returns the number of listed executions with the given idempotency key.
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
	Active     int `json:"active"` // calls in progress now
	// CallsInRest is the largest number of calls in one rest; see rest.Log.
	CallsInRest int `json:"calls_in_rest"`
}

// Service is a simulated service. It is safe for concurrent use. Close aborts
// stalled calls.
type Service struct {
	cfg         Config
	faults      *fault.Injector[Faults]
	rests       rest.Log
	incarnation uint64
	lastLeaving bool // Leaving of the last load report
	closed      chan struct{}

	mu              sync.Mutex
	stats           Stats
	executions      []Execution
	totalExecutions int
	seq             uint64 // sequence number of the last load report
}

// New returns a service.
func New(cfg Config) *Service {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	return &Service{
		cfg:         cfg,
		faults:      fault.NewInjector[Faults](),
		incarnation: rand.Uint64(),
		closed:      make(chan struct{}),
	}
}

// Close aborts the calls that a fault stalls. It must be called once.
func (s *Service) Close() { close(s.closed) }

// Handler returns the handler of the service. It serves the load under /load and
// under engineapi.PathLoad, for pollers that treat services like engines, and
// look-ups and executions under every other path.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.rests.Call()
		if r.URL.Path == pathLoad || r.URL.Path == engineapi.PathLoad {
			httpjson.Write(w, http.StatusOK, s.Load())
			return
		}
		s.serve(w, r)
	})
}

// serve serves a look-up or an execution.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpjson.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.setRequestID(w, r)
	if !s.acquireSlot() {
		s.refuse(w)
		return
	}
	defer s.releaseSlot()
	s.applyFaultsBefore(r)
	faults := s.faults.Get()
	httpjson.Sleep(time.Duration(faults.DelayMS)*time.Millisecond, s.closed)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.lookup(w, r)
		return
	}
	httpjson.Sleep(s.cfg.Work, s.closed)
	confirmation := s.execute(r, body)
	s.applyFaultsAfter(r)
	status := http.StatusOK
	if s.hitFault(func(f Faults) bool { return f.Fail }) {
		status = http.StatusInternalServerError
	}
	s.writeAnswer(w, status, confirmation)
}

// acquireSlot takes a slot. It returns false if all slots are in use or a fault
// refuses the call.
func (s *Service) acquireSlot() bool {
	refuse := s.hitFault(func(f Faults) bool { return f.Refuse || f.Leaving || f.RestMS > 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	if refuse || s.stats.Active >= s.cfg.Slots {
		s.stats.Refusals++
		return false
	}
	s.stats.Active++
	return true
}

// setRequestID copies the request's id to the response, so that a client can check
// that the response belongs to its request.
func (s *Service) setRequestID(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		return
	}
	if s.hitFault(func(f Faults) bool { return f.Crossed }) {
		id = "crossed-" + id
	}
	w.Header().Set(HeaderRequestID, id)
}

// releaseSlot frees the slot of a call that has ended.
func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Active--
}

// refuse replies with 503 and a Refusal.
func (s *Service) refuse(w http.ResponseWriter) {
	load := s.Load()
	body := engineapi.Refusal{Reason: "no capacity", Leaving: load.Leaving, Load: load}
	if load.Leaving {
		body.Reason = "leaving"
	}
	if ms := s.faults.Get().RestMS; ms > 0 {
		span := time.Duration(ms) * time.Millisecond
		w.Header().Set("Retry-After", strconv.FormatFloat(span.Seconds(), 'f', -1, 64))
		s.rests.Told(span)
	}
	s.writeAnswer(w, http.StatusServiceUnavailable, body)
}

// applyFaultsBefore applies the faults that stall or abort a call before it is
// executed.
func (s *Service) applyFaultsBefore(r *http.Request) {
	if s.hitFault(func(f Faults) bool { return f.StallBefore }) {
		httpjson.Stall(r, s.closed)
	}
	if s.hitFault(func(f Faults) bool { return f.CutBefore }) {
		httpjson.Abort()
	}
}

// applyFaultsAfter applies the faults that withhold the reply to a call that was
// executed.
func (s *Service) applyFaultsAfter(r *http.Request) {
	if s.hitFault(func(f Faults) bool { return f.StallAfter }) {
		httpjson.Stall(r, s.closed)
	}
	if s.hitFault(func(f Faults) bool { return f.CutAfter }) {
		httpjson.Abort()
	}
}

// hitFault reports whether the current faults satisfy match. If they do, it counts
// the call against their limit.
func (s *Service) hitFault(match func(Faults) bool) bool {
	_, ok := s.faults.Hit(match)
	return ok
}

// lookup counts and answers a look-up.
func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stats.Lookups++
	s.mu.Unlock()
	s.applyFaultsAfter(r)
	s.writeAnswer(w, http.StatusOK, LookupOf(r.URL.Path))
}

// LookupOf returns the answer to a look-up of path.
func LookupOf(path string) Lookup {
	return Lookup{Path: path, Value: fmt.Sprintf("%016x", xxhash.Sum64String(path))}
}

// execute records an execution and returns its confirmation.
func (s *Service) execute(r *http.Request, body []byte) Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalExecutions++
	s.stats.Executions++
	x := Execution{
		Confirmation: fmt.Sprintf("%016x-%d", s.incarnation, s.totalExecutions),
		RequestID:    r.Header.Get(HeaderRequestID),
		Key:          r.Header.Get(HeaderKey),
		Method:       r.Method,
		Path:         r.URL.Path,
		BodyHash:     xxhash.Sum64(body),
	}
	if len(s.executions) < MaxExecutions {
		s.executions = append(s.executions, x)
	}
	return Confirmation{Confirmation: x.Confirmation, Path: x.Path}
}

// writeAnswer sends v as JSON, with the load and the rate limit in the headers.
func (s *Service) writeAnswer(w http.ResponseWriter, status int, v any) {
	l := s.Load()
	w.Header().Set(HeaderLoad, fmt.Sprintf("active=%d slots=%d leaving=%t incarnation=%d seq=%d",
		l.Active, l.Slots, l.Leaving, l.Incarnation, l.Seq))
	if limit := s.faults.Get().Limit; limit > 0 {
		w.Header().Set(HeaderLimit, strconv.FormatFloat(limit, 'g', -1, 64))
	}
	httpjson.Write(w, status, v)
}

// Load returns the current load under a new sequence number. When the fault
// Leaving is removed, a new incarnation begins: Leaving is final within an
// incarnation, and daemons may rely on it until the incarnation changes.
func (s *Service) Load() engineapi.Load {
	leaving := s.faults.Get().Leaving
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastLeaving && !leaving {
		s.incarnation, s.seq = rand.Uint64(), 0
	}
	s.lastLeaving = leaving
	s.seq++
	return engineapi.Load{
		Incarnation: s.incarnation,
		Seq:         s.seq,
		Slots:       s.cfg.Slots,
		Active:      s.stats.Active,
		Leaving:     leaving,
	}
}

// Executions returns the calls that were executed since the start or the last reset.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{Total: s.totalExecutions, Executions: append([]Execution{}, s.executions...)}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.CallsInRest = s.rests.Most()
	return out
}

// SetFaults replaces the faults. They are cleared after they have affected the
// given number of calls; 0 means that they stay.
func (s *Service) SetFaults(f Faults, times int) { s.faults.Set(f, times) }

// reset clears the executions and the counters, except that of the calls in progress.
func (s *Service) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats = Stats{Active: s.stats.Active}
	s.executions, s.totalExecutions = nil, 0
}

// Control returns the fault control API: the paths of package fault and
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
