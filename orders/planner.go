package orders

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Config holds the planner's intervals and bounds.
type Config struct {
	// ReadInterval is the interval at which the state of an upstream is read while the
	// upstream is in its desired state. For more than fullRateUpstreams upstreams, the interval grows
	// with their number. The interval bounds how long the effect of a delayed order from
	// an older bundle lasts on an upstream that ignores fencing numbers.
	ReadInterval time.Duration
	// RetryInterval is the interval at which the state of an upstream is read until the
	// upstream is in its desired state.
	RetryInterval time.Duration
	// MaxConcurrentLoads bounds the number of upstreams that load models at once, so that a new
	// bundle does not exceed the rate limit of the weight store.
	MaxConcurrentLoads int
}

// fullRateUpstreams is the number of upstreams per steward up to which each one is read
// every ReadInterval. In the largest deployment that the system is designed for, a daemon
// is the steward of 32 upstreams and reads each one every 8 s, which takes about
// 1.5 KB/s including the responses.
const fullRateUpstreams = 8

// DefaultConfig returns the default intervals and bounds.
func DefaultConfig() Config {
	return Config{ReadInterval: 2 * time.Second, RetryInterval: 500 * time.Millisecond, MaxConcurrentLoads: 8}
}

// StateRead requests that the runner read the state of an upstream. The runner passes the
// state to Planner.RecordState, which returns the orders to send, or calls Planner.RecordFailure
// if the read failed.
type StateRead struct {
	Upstream string
	Address  string
}

// Planner decides which upstreams to read and which orders to send them, so that each
// reaches the state that the current bundle requires. It is not safe for concurrent use;
// Runner serializes access to it.
type Planner struct {
	config          Config
	bundleNumber    uint64
	desired         map[string]DesiredState
	reconciliations map[string]*reconciliation
	// assigned are the names of the upstreams that this daemon was the steward of at
	// generation. assignedStale means that the bundle has changed since.
	assigned      []string
	generation    uint64
	assignedStale bool
}

// reconciliation is the progress of one upstream towards its desired state.
type reconciliation struct {
	nextRead       time.Time
	inDesiredState bool
	loadInFlight   bool
	// readInFlight is set from the return of a StateRead by Due until RecordState or
	// RecordFailure, so that an upstream has at most one read in flight.
	readInFlight bool
}

// NewPlanner returns a planner without a bundle.
func NewPlanner(config Config) *Planner {
	return &Planner{config: config, desired: map[string]DesiredState{}, reconciliations: map[string]*reconciliation{}}
}

// SetVersion sets the current bundle. An older one is ignored, because orders must never
// return an upstream to an older bundle.
func (p *Planner) SetVersion(v *bundle.Version) {
	if v == nil || v.Number <= p.bundleNumber {
		return
	}
	p.bundleNumber, p.assignedStale = v.Number, true
	previous := p.desired
	p.desired = DesiredStates(v.Bundle)
	for name := range p.reconciliations {
		if _, ok := p.desired[name]; !ok {
			delete(p.reconciliations, name)
		}
	}
	for name, w := range p.desired {
		// An upstream whose desired state has not changed keeps its schedule of reads: in
		// the largest deployment there is a new bundle every two seconds.
		if p.reconciliations[name] == nil || !w.equal(previous[name]) {
			p.reconciliations[name] = &reconciliation{}
		}
	}
}

// updateAssigned recomputes the upstreams that this daemon is the steward of, if the
// bundle or the generation changed.
//
// Calling isSteward for every upstream at each tick would take 8% of a core with 12,000
// upstreams (BenchmarkDue), even in a daemon without requests.
func (p *Planner) updateAssigned(generation uint64, isSteward func(upstream, dataCentre string) bool) {
	if !p.assignedStale && generation == p.generation {
		return
	}
	p.assignedStale, p.generation, p.assigned = false, generation, p.assigned[:0]
	for name, w := range p.desired {
		if isSteward(name, w.DataCentre) {
			p.assigned = append(p.assigned, name)
			continue
		}
		// Another daemon is the steward, so this upstream must not count towards
		// MaxConcurrentLoads here.
		p.reconciliations[name].loadInFlight = false
	}
}

// Due returns the upstreams to read now, among those that this daemon is the steward of.
// isSteward reports whether it is the steward of an upstream; its results may change only with
// the generation.
func (p *Planner) Due(now time.Time, generation uint64, isSteward func(upstream, dataCentre string) bool) []StateRead {
	p.updateAssigned(generation, isSteward)
	var out []StateRead
	for _, name := range p.assigned {
		e := p.reconciliations[name]
		if e.readInFlight || now.Before(e.nextRead) {
			continue
		}
		e.readInFlight = true
		out = append(out, StateRead{Upstream: name, Address: p.desired[name].Address})
	}
	return out
}

// RecordState records the state read from an upstream and returns the orders to send to it.
// Orders are computed from each state anew, so that an order is sent again if it was lost
// or if a delayed older order has undone it.
func (p *Planner) RecordState(now time.Time, upstream string, state engineapi.State) []engineapi.Order {
	e, ok := p.reconciliations[upstream]
	if !ok {
		return nil
	}
	e.readInFlight = false
	orders := p.desired[upstream].missingOrders(state, p.bundleNumber)
	e.loadInFlight = len(state.Loading) > 0
	e.inDesiredState = len(orders) == 0 && !e.loadInFlight
	e.nextRead = now.Add(p.readInterval(e))
	if len(orders) == 0 || e.loadInFlight {
		return nil
	}
	if p.loadsInFlight() >= p.config.MaxConcurrentLoads {
		return nil
	}
	e.loadInFlight = true
	return orders
}

// RecordFailure records that the state of an upstream could not be read.
func (p *Planner) RecordFailure(now time.Time, upstream string) {
	e, ok := p.reconciliations[upstream]
	if !ok {
		return
	}
	e.readInFlight = false
	e.loadInFlight = false
	e.inDesiredState = false
	e.nextRead = now.Add(p.config.RetryInterval)
}

// IsCurrent reports whether orders computed from the bundle of the given number may still
// be sent, which is no longer the case once the planner has a newer bundle.
func (p *Planner) IsCurrent(bundleNumber uint64) bool { return bundleNumber == p.bundleNumber }

// BundleNumber returns the number of the current bundle.
func (p *Planner) BundleNumber() uint64 { return p.bundleNumber }

func (p *Planner) readInterval(e *reconciliation) time.Duration {
	if e.inDesiredState {
		return p.config.ReadInterval * time.Duration(max(1, len(p.assigned)/fullRateUpstreams))
	}
	return p.config.RetryInterval
}

func (p *Planner) loadsInFlight() int {
	n := 0
	for _, e := range p.reconciliations {
		if e.loadInFlight {
			n++
		}
	}
	return n
}
