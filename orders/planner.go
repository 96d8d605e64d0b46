package orders

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Config holds the planner's intervals and bounds.
type Config struct {
	// ReadEvery is the time between readings of an upstream that is in its wanted
	// state. It bounds how long a late order of an older version can stand on an
	// upstream that ignores fencing numbers.
	ReadEvery time.Duration
	// RetryEvery is the time between readings while the state is not yet reached.
	RetryEvery time.Duration
	// MaxLoading bounds the upstreams that load at once, so that a new version
	// does not meet the weight store's rate limit all at once.
	MaxLoading int
}

// DefaultConfig returns the intervals used when settings give none.
func DefaultConfig() Config {
	return Config{ReadEvery: 2 * time.Second, RetryEvery: 500 * time.Millisecond, MaxLoading: 8}
}

// Action asks the runner to read an upstream's state and to pass the reading to
// Planner.Observed, which returns the orders to send, or to call Planner.Failed.
type Action struct {
	Upstream string
	Address  string
}

// Planner keeps what is known of each upstream this daemon gives orders to.
// It is not safe for concurrent use; its runner owns it.
type Planner struct {
	config  Config
	number  uint64
	wanted  map[string]Wanted
	entries map[string]*entry
}

type entry struct {
	nextRead time.Time
	reached  bool
	loading  bool
	// reading is set from the action until its result, so that one upstream has
	// one reading under way at a time.
	reading bool
}

// NewPlanner returns a planner that wants nothing yet.
func NewPlanner(config Config) *Planner {
	return &Planner{config: config, wanted: map[string]Wanted{}, entries: map[string]*entry{}}
}

// SetVersion takes the version in force. A version below the one already held
// is ignored: orders must never go back.
func (p *Planner) SetVersion(v *bundle.Version) {
	if v == nil || v.Number <= p.number {
		return
	}
	p.number = v.Number
	p.wanted = WantedBy(v.Bundle)
	for name := range p.entries {
		if _, ok := p.wanted[name]; !ok {
			delete(p.entries, name)
		}
	}
	for name := range p.wanted {
		p.entries[name] = &entry{}
	}
}

// Due returns the upstreams to read now among those that mine accepts; mine
// tells whether this daemon is the upstream's steward.
func (p *Planner) Due(now time.Time, mine func(upstream, dataCentre string) bool) []Action {
	var out []Action
	for name, w := range p.wanted {
		e := p.entries[name]
		if !mine(name, w.DataCentre) {
			// Another daemon is steward now; what this one last saw must not hold
			// back its other loads.
			e.loading = false
			continue
		}
		if e.reading || now.Before(e.nextRead) {
			continue
		}
		e.reading = true
		out = append(out, Action{Upstream: name, Address: w.Address})
	}
	return out
}

// Observed takes a reading of an upstream's state and returns the orders to
// send to it, with the number they were decided under. Orders are decided anew
// from each reading, so that one that was lost is sent again and one that was
// undone by a late older order is repeated.
func (p *Planner) Observed(now time.Time, upstream string, state engineapi.State) []engineapi.Order {
	e, ok := p.entries[upstream]
	if !ok {
		return nil
	}
	e.reading = false
	orders := p.wanted[upstream].missing(state, p.number)
	e.loading = len(state.Loading) > 0
	e.reached = len(orders) == 0 && !e.loading
	e.nextRead = now.Add(p.interval(e))
	if len(orders) == 0 || e.loading {
		return nil
	}
	if p.loadingCount() >= p.config.MaxLoading {
		return nil
	}
	e.loading = true
	return orders
}

// Failed takes a reading that could not be made.
func (p *Planner) Failed(now time.Time, upstream string) {
	e, ok := p.entries[upstream]
	if !ok {
		return
	}
	e.reading = false
	e.loading = false
	e.reached = false
	e.nextRead = now.Add(p.config.RetryEvery)
}

// Current says whether orders decided under number may still be sent: they may
// not once a newer version is known.
func (p *Planner) Current(number uint64) bool { return number == p.number }

// Number returns the number of the version that the planner works on.
func (p *Planner) Number() uint64 { return p.number }

func (p *Planner) interval(e *entry) time.Duration {
	if e.reached {
		return p.config.ReadEvery
	}
	return p.config.RetryEvery
}

func (p *Planner) loadingCount() int {
	n := 0
	for _, e := range p.entries {
		if e.loading {
			n++
		}
	}
	return n
}
