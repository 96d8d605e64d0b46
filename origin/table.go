package origin

import (
	"sync"
	"time"
)

// maxRecords bounds the records that a daemon keeps, about 200 bytes each. The reader of 123
// daemons that begin 1,000 streams a second of at most 20 s keeps 20,000.
const maxRecords = 1 << 16

// Table holds records by ID until they are of no more use. It is safe for concurrent use.
//
// Load pattern: each stream adds a record, and very few are asked for. When there are too many,
// the oldest go first, whoever sent them.
type Table struct {
	limit int

	mu      sync.Mutex
	entries map[ID]*entry
	counts  map[versionKey]int // entries by service and version
	// order holds the IDs in the order of their arrival, from index first on.
	order []ID
	first int
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

func (r Record) key() versionKey { return versionKey{r.Service, r.Version} }

// entry is a record, with the time until which it is kept.
type entry struct {
	record   Record
	until    time.Time
	conflict bool // another record of this ID named another service or version
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{limit: maxRecords, entries: map[ID]*entry{}, counts: map[versionKey]int{}}
}

// Add adds a record that another daemon or this one has made. It reports whether the record is new
// here. Two records of one ID that name two origins, as of two callers that use one id, both
// stay unknown.
func (t *Table) Add(now time.Time, r Record) (added bool) {
	if r.validate() != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(time.Duration(r.LifeMillis) * time.Millisecond)
	if e := t.entries[r.ID]; e != nil {
		e.conflict = e.conflict || !e.record.sameOrigin(r)
		if until.After(e.until) {
			e.until = until
		}
		return false
	}
	r = r.interned()
	t.entries[r.ID] = &entry{record: r, until: until}
	t.counts[r.key()]++
	t.order = append(t.order, r.ID)
	t.evict(now)
	return true
}

// evict drops the oldest records that have run out or are over the limit.
func (t *Table) evict(now time.Time) {
	for t.first < len(t.order) {
		id := t.order[t.first]
		if len(t.entries) <= t.limit && now.Before(t.entries[id].until) {
			break
		}
		key := t.entries[id].record.key()
		if t.counts[key]--; t.counts[key] == 0 {
			delete(t.counts, key)
		}
		delete(t.entries, id)
		t.first++
	}
	if t.first > len(t.order)/2 {
		t.order = append([]ID(nil), t.order[t.first:]...)
		t.first = 0
	}
}

// Get returns the record of an ID. conflict is set if records of the ID contradict each other; found
// is false then, and if there is none.
func (t *Table) Get(now time.Time, id ID) (r Record, found, conflict bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	switch {
	case e == nil, !now.Before(e.until):
		return r, false, false
	case e.conflict:
		return r, false, true
	}
	return e.record, true, false
}

// Versions returns how many of the records name each version of a service, at most limit versions.
func (t *Table) Versions(now time.Time, service string, limit int) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	out := map[string]int{}
	for key, n := range t.counts {
		if key.service == service && len(out) < limit {
			out[key.version] = n
		}
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
