// Package instances simulates the platform's list of live and leaving instances.
// A change that is set through the control API becomes visible after a delay.
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

// Config configures an instance list. Package kong derives the flags of
// `standin instances` from its fields and tags.
type Config struct {
	Lag time.Duration `help:"Delay until a change becomes visible." default:"2s"`
}

// Faults are the faults that a test can set on an instance list. The zero value
// sets none.
type Faults struct {
	// Down replies with 503. Cut closes the connection without a reply. Stall
	// never replies.
	Down  bool `json:"down,omitempty"`
	Cut   bool `json:"cut,omitempty"`
	Stall bool `json:"stall,omitempty"`
	// Freeze prevents pending changes from becoming visible.
	Freeze bool `json:"freeze,omitempty"`
	// DelayMS delays every reply, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Stats are the list's counters since its start or the last reset.
type Stats struct {
	Reads   int `json:"reads"`
	Changes int `json:"changes"`
}

// change is a list that becomes visible at a later time.
type change struct {
	visibleAt time.Time
	list      []infraapi.Instance
}

// List is a simulated instance list. It is safe for concurrent use. Close
// aborts stalled calls.
type List struct {
	cfg    Config
	faults *fault.Injector[Faults]
	closed chan struct{}

	mu      sync.Mutex
	visible []infraapi.Instance
	pending []change // in order of visibleAt
	stats   Stats
}

// New returns an empty list.
func New(cfg Config) *List {
	return &List{
		cfg:     cfg,
		faults:  fault.NewInjector[Faults](),
		closed:  make(chan struct{}),
		visible: []infraapi.Instance{},
	}
}

// Close aborts the calls that a fault stalls or delays. It must be called once.
func (i *List) Close() { close(i.closed) }

// Set replaces the list. The new list becomes visible after Config.Lag.
func (i *List) Set(list []infraapi.Instance) {
	i.setAt(time.Now(), list)
}

// setAt is like Set, with now as the current time.
func (i *List) setAt(now time.Time, list []infraapi.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.Changes++
	i.pending = append(i.pending, change{visibleAt: now.Add(i.cfg.Lag), list: list})
}

// visibleList counts a read and returns the list that is visible at now. If frozen
// is set, pending changes stay invisible.
func (i *List) visibleList(now time.Time, frozen bool) []infraapi.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.Reads++
	for !frozen && len(i.pending) > 0 && !i.pending[0].visibleAt.After(now) {
		i.visible = i.pending[0].list
		i.pending = i.pending[1:]
	}
	return i.visible
}

// Handler returns the handler of the instance list API of package infraapi.
func (i *List) Handler() http.Handler {
	rt := httprouter.New()
	rt.HandlerFunc(http.MethodGet, infraapi.PathInstances, i.serveList)
	return rt
}

// serveList applies the faults and replies with the visible list.
func (i *List) serveList(w http.ResponseWriter, r *http.Request) {
	httpjson.Sleep(time.Duration(i.faults.Get().DelayMS)*time.Millisecond, i.closed)
	switch {
	case i.hitFault(func(f Faults) bool { return f.Stall }):
		httpjson.Stall(r, i.closed)
	case i.hitFault(func(f Faults) bool { return f.Cut }):
		httpjson.Abort()
	case i.hitFault(func(f Faults) bool { return f.Down }):
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	list := i.visibleList(time.Now(), i.faults.Get().Freeze)
	httpjson.Write(w, http.StatusOK, infraapi.InstancesReply{Instances: list})
}

// hitFault reports whether the current faults satisfy match. If they do, it counts
// the call against their limit.
func (i *List) hitFault(match func(Faults) bool) bool {
	_, ok := i.faults.Hit(match)
	return ok
}

// Stats returns the counters.
func (i *List) Stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stats
}

// SetFaults replaces the faults. They are cleared after they have affected the
// given number of calls; 0 means that they stay.
func (i *List) SetFaults(f Faults, times int) { i.faults.Set(f, times) }

// reset clears the counters.
func (i *List) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats = Stats{}
}

// Control returns the fault control API: the paths of package fault and
// POST /instances, whose body is an infraapi.InstancesReply.
func (i *List) Control() http.Handler {
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
