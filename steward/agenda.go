package steward

import (
	"math/rand/v2"
	"time"
)

// intervals say how often each thing is asked of an upstream.
type intervals struct {
	load, events, held time.Duration
}

// visit says what to ask of one upstream now.
type visit struct {
	upstream           string
	load, events, held bool
}

// turn is the plan of one upstream.
type turn struct {
	load, events, held time.Time
	busy, engine       bool
	failures           int
}

const (
	// maxBackoff bounds how much a failing upstream's intervals are stretched.
	maxBackoff = 4
	// fullRate is the number of upstreams up to which each is asked at the stated
	// intervals; beyond it they grow with the number, so that polling costs the
	// same few KB/s. At the design size a steward has 32.
	fullRate = 4
	// maxCrowd bounds that growth, for the daemon that is left alone with a data
	// centre: a load every ten seconds is worth more than the bytes.
	maxCrowd = 20
)

// agenda plans the visits to the upstreams a daemon is steward of. It is not
// safe for concurrent use.
type agenda struct {
	every intervals
	rng   *rand.Rand
	turns map[string]*turn
}

func newAgenda(every intervals, rng *rand.Rand) *agenda {
	return &agenda{every: every, rng: rng, turns: map[string]*turn{}}
}

// assign sets the upstreams and whether each is an engine, and returns those
// that are no longer this daemon's. A new one is listed at once: its last
// steward may have died together with owners of its work.
func (a *agenda) assign(now time.Time, mine map[string]bool) (dropped []string) {
	for name := range a.turns {
		if _, ok := mine[name]; !ok {
			delete(a.turns, name)
			dropped = append(dropped, name)
		}
	}
	for name, engine := range mine {
		if t := a.turns[name]; t != nil {
			t.engine = engine
			continue
		}
		a.turns[name] = &turn{engine: engine, held: now, load: now, events: a.after(now, a.every.events, 1)}
	}
	return dropped
}

// listAll makes every engine's held memory due, after a daemon died.
func (a *agenda) listAll(now time.Time) {
	for _, t := range a.turns {
		t.held = now
	}
}

// due returns at most limit visits that are due, and marks them as under way.
func (a *agenda) due(now time.Time, limit int) []visit {
	var out []visit
	for name, t := range a.turns {
		if len(out) >= limit {
			break
		}
		v := visit{
			upstream: name,
			load:     !now.Before(t.load),
			events:   t.engine && !now.Before(t.events),
			held:     t.engine && !now.Before(t.held),
		}
		if t.busy || !v.load && !v.events && !v.held {
			continue
		}
		t.busy = true
		t.plan(now, v, a)
		out = append(out, v)
	}
	return out
}

// plan sets the next time of what a visit does.
func (t *turn) plan(now time.Time, v visit, a *agenda) {
	stretch := min(1+t.failures, maxBackoff) * a.crowd()
	if v.load {
		t.load = a.after(now, a.every.load, stretch)
	}
	if v.events {
		t.events = a.after(now, a.every.events, stretch)
	}
	if v.held {
		t.held = a.after(now, a.every.held, stretch)
	}
}

// crowd returns how much the number of upstreams stretches the intervals.
func (a *agenda) crowd() int {
	return min(max(1, len(a.turns)/fullRate), maxCrowd)
}

// done ends a visit; again is when to list the engine before its usual turn, zero
// when nothing calls for that.
func (a *agenda) done(upstream string, ok bool, again time.Time) {
	t := a.turns[upstream]
	if t == nil {
		return
	}
	t.busy = false
	t.failures++
	if ok {
		t.failures = 0
	}
	if !again.IsZero() && again.Before(t.held) {
		t.held = again
	}
}

// after returns now plus an interval, jittered by a tenth, so that the polls of
// many stewards spread out.
func (a *agenda) after(now time.Time, every time.Duration, stretch int) time.Time {
	d := every * time.Duration(stretch)
	return now.Add(d - d/10 + time.Duration(a.rng.Int64N(int64(d/5)+1)))
}
