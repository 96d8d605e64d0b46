package ratelimit

import (
	"slices"
	"time"
)

// Record is the limit of an upstream as one daemon sends it to another. It is encoded as an array,
// without the names of its fields, to keep calls small.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Name        string
	Incarnation int64
	HasLimit    bool
	Limit       float64
	// Age is the time from At of the underlying response to the sending of the record.
	Age time.Duration
}

const (
	// propagationTime is how long a change is included in calls to other daemons. It spans a few
	// calls.
	propagationTime = 3 * time.Second
	// maxRecords bounds the number of records in one call. Each takes about 40 bytes.
	maxRecords = 64
	// transitMargin is above the time that a record takes from one daemon to another. Without
	// it, the end of a limit would look newer than it is and clear a limit reported after it.
	transitMargin = 200 * time.Millisecond
)

// RecentChanges returns the limits that changed within propagationTime and, if all is set, also all other
// limits in force. The most recent changes come first; at most maxRecords are returned.
func (b *Table) RecentChanges(now time.Time, all bool) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var upstreams []Upstream
	for u, e := range b.entries {
		if now.Sub(e.lastChange) < propagationTime || all && e.inForce {
			upstreams = append(upstreams, u)
		}
	}
	slices.SortFunc(upstreams, func(u, v Upstream) int { return b.entries[v].lastChange.Compare(b.entries[u].lastChange) })
	var out []Record
	for _, u := range upstreams[:min(len(upstreams), maxRecords)] {
		out = append(out, b.entries[u].record(now, u))
	}
	return out
}

// Record returns the record of one upstream; ok is false if the table has no entry for it.
func (b *Table) Record(now time.Time, u Upstream) (r Record, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[u]
	if e == nil {
		return r, false
	}
	return e.record(now, u), true
}

// record returns the entry as a record.
func (e *entry) record(now time.Time, u Upstream) Record {
	at := e.noLimitAsOf
	if e.inForce {
		at = e.limitAsOf
	}
	return Record{Name: u.Name, Incarnation: u.Incarnation, HasLimit: e.inForce, Limit: e.limit, Age: max(0, now.Sub(at))}
}

// Observation converts a record that arrived at now to the argument of Observe.
func (r Record) Observation(now time.Time) Observation {
	o := Observation{Upstream: Upstream{Name: r.Name, Incarnation: r.Incarnation}, HasLimit: r.HasLimit, Limit: r.Limit, At: now.Add(-max(0, r.Age))}
	if !r.HasLimit {
		o.At = o.At.Add(-transitMargin)
	}
	return o
}

// Valid reports whether the fields of a record from another process are in range.
func (r Record) Valid() bool { return r.Name != "" && r.Limit >= 0 && r.Limit <= maxLimit }

// maxLimit is above any meaningful limit, in requests a second.
const maxLimit = 1e300
