package orders

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Config holds the planner's intervals and bounds.
type Config struct {
	// ReadEvery is the time between readings of an upstream that is in its wanted
	// state, for up to fullRate upstreams; beyond that it grows with their number.
	// It bounds how long a late order of an older version can stand on an
	// upstream that ignores fencing numbers.
	ReadEvery time.Duration
	// RetryEvery is the time between readings while the state is not yet reached.
	RetryEvery time.Duration
	// MaxLoading bounds the upstreams that load at once, so that a new version
	// does not meet the weight store's rate limit all at once.
	MaxLoading int
}

// fullRate is the number of own upstreams up to which each is read every
// ReadEvery. At the design size a daemon has 32, read every 8 s: with their
// answers about 1.5 KB/s.
const fullRate = 8

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
	// own names the upstreams this daemon is steward of, as of generation; stale
	// says that the version changed since.
	own        []string
	generation uint64
	stale      bool
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
	p.number, p.stale = v.Number, true
	before := p.wanted
	p.wanted = WantedBy(v.Bundle)
	for name := range p.entries {
		if _, ok := p.wanted[name]; !ok {
			delete(p.entries, name)
		}
	}
	for name, w := range p.wanted {
		// An upstream of which nothing else is wanted is not read again at once:
		// versions come every two seconds at the design size.
		if p.entries[name] == nil || !w.equal(before[name]) {
			p.entries[name] = &entry{}
		}
	}
}

// assign works out the own upstreams, when the version or the members changed.
//
// What goes wrong: asking for each upstream of the fleet at each tick costs 8% of
// a core at 12,000 upstreams (BenchmarkDue). One would notice daemons busy
// without requests.
func (p *Planner) assign(generation uint64, mine func(upstream, dataCentre string) bool) {
	if !p.stale && generation == p.generation {
		return
	}
	p.stale, p.generation, p.own = false, generation, p.own[:0]
	for name, w := range p.wanted {
		if mine(name, w.DataCentre) {
			p.own = append(p.own, name)
			continue
		}
		// Another daemon is steward now; what this one last saw must not hold
		// back its other loads.
		p.entries[name].loading = false
	}
}

// Due returns the upstreams to read now among those that mine accepts; mine
// tells whether this daemon is the upstream's steward, and may answer otherwise
// only with another generation.
func (p *Planner) Due(now time.Time, generation uint64, mine func(upstream, dataCentre string) bool) []Action {
	p.assign(generation, mine)
	var out []Action
	for _, name := range p.own {
		e := p.entries[name]
		if e.reading || now.Before(e.nextRead) {
			continue
		}
		e.reading = true
		out = append(out, Action{Upstream: name, Address: p.wanted[name].Address})
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
		return p.config.ReadEvery * time.Duration(max(1, len(p.own)/fullRate))
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
