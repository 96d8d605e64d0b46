// Package instances is a stand-in for the platform's list of live and leaving
// instances, which lags behind what the control API sets.
package instances

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/standin/fault"
	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
)

// Config sets up a list. The kong tags make it the flags of `standin instances`.
type Config struct {
	Lag time.Duration `help:"How long a change takes to show." default:"2s"`
}

// Faults are the faults that a test can set on a list; the zero value is none.
type Faults struct {
	// Down answers 503; Cut cuts the connection; Stall never answers.
	Down  bool `json:"down,omitempty"`
	Cut   bool `json:"cut,omitempty"`
	Stall bool `json:"stall,omitempty"`
	// Freeze keeps the list as it shows now.
	Freeze bool `json:"freeze,omitempty"`
	// DelayMS delays every answer, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Stats are the list's counters since its start or the last reset.
type Stats struct {
	Reads   int `json:"reads"`
	Changes int `json:"changes"`
}

// change is a list that shows from a time on.
type change struct {
	at   time.Time
	list []infraapi.Instance
}

// Instances is safe for concurrent use. Close releases stalled calls.
type Instances struct {
	cfg    Config
	faults *fault.Box[Faults]
	closed chan struct{}

	mu      sync.Mutex
	shown   []infraapi.Instance
	pending []change // in order of their times
	stats   Stats
}

// New returns an empty list.
func New(cfg Config) *Instances {
	return &Instances{
		cfg:    cfg,
		faults: fault.NewBox[Faults](),
		closed: make(chan struct{}),
		shown:  []infraapi.Instance{},
	}
}

// Close cuts the calls that faults hold. Call it once.
func (i *Instances) Close() { close(i.closed) }

// Set replaces the list; it shows after the lag.
func (i *Instances) Set(list []infraapi.Instance) {
	i.set(time.Now(), list)
}

func (i *Instances) set(now time.Time, list []infraapi.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.Changes++
	i.pending = append(i.pending, change{at: now.Add(i.cfg.Lag), list: list})
}

// list returns the list as it shows at now.
func (i *Instances) list(now time.Time, frozen bool) []infraapi.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.Reads++
	for !frozen && len(i.pending) > 0 && !i.pending[0].at.After(now) {
		i.shown = i.pending[0].list
		i.pending = i.pending[1:]
	}
	return i.shown
}

// Handler returns the list interface of package infraapi.
func (i *Instances) Handler() http.Handler {
	rt := httprouter.New()
	rt.HandlerFunc(http.MethodGet, infraapi.PathInstances, i.serveList)
	return rt
}

func (i *Instances) serveList(w http.ResponseWriter, r *http.Request) {
	httpjson.Sleep(time.Duration(i.faults.Get().DelayMS)*time.Millisecond, i.closed)
	switch {
	case i.hit(func(f Faults) bool { return f.Stall }):
		httpjson.Stall(r, i.closed)
	case i.hit(func(f Faults) bool { return f.Cut }):
		httpjson.Cut()
	case i.hit(func(f Faults) bool { return f.Down }):
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	list := i.list(time.Now(), i.faults.Get().Freeze)
	httpjson.Write(w, http.StatusOK, infraapi.InstancesReply{Instances: list})
}

func (i *Instances) hit(match func(Faults) bool) bool {
	_, ok := i.faults.Hit(match)
	return ok
}

// Stats returns the counters.
func (i *Instances) Stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stats
}

// SetFaults replaces the faults; times limits the calls hit, 0 means no limit.
func (i *Instances) SetFaults(f Faults, times int) { i.faults.Set(f, times) }

func (i *Instances) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats = Stats{}
}

// Control returns the fault control API; beside the common paths it has
// POST /instances, whose body is a infraapi.InstancesReply.
func (i *Instances) Control() http.Handler {
	rt := fault.Router(i.faults, fault.Hooks{
		Stats: func() any { return i.Stats() },
		Reset: i.reset,
	})
	rt.HandlerFunc(http.MethodPost, infraapi.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		var req infraapi.InstancesReply
		if !httpjson.Read(w, r, &req) {
			return
		}
		i.Set(req.Instances)
		w.WriteHeader(http.StatusNoContent)
	})
	return rt
}
