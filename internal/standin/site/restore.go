package site

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// Copy is the content of a store at one time.
type Copy struct {
	topics      map[string]topic
	partOwner   string
	ownerSeenAt time.Time
	generation  uint64
}

// Copy returns the content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{topics: map[string]topic{}, partOwner: s.partOwner, ownerSeenAt: s.ownerSeenAt, generation: s.generation}
	for name, t := range s.topics {
		c.topics[name] = topic{records: slices.Clone(t.records), first: t.first}
	}
	return c
}

// LostRecord is the newest record of a key that a restoration has lost.
type LostRecord struct {
	topic, key string
	value      []byte
}

// Key returns the key of the record.
func (r LostRecord) Key() string { return r.key }

// Restore replaces the content by a copy and begins a new era. It returns what the operator and the
// upstreams have written since: the newest record of each key whose record differs in the copy.
func (s *Store) Restore(c Copy) []LostRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []LostRecord
	for name, t := range s.topics {
		if !strings.HasPrefix(name, "keyed.") {
			continue
		}
		old := c.topics[name].newest()
		for _, rec := range t.newestRecords() {
			if string(rec.value) != string(old[rec.key]) {
				lost = append(lost, LostRecord{name, rec.key, rec.value})
			}
		}
	}
	s.topics = map[string]*topic{}
	for name, t := range c.topics {
		s.topics[name] = &topic{records: slices.Clone(t.records), first: t.first}
	}
	s.partOwner, s.ownerSeenAt, s.generation = c.partOwner, c.ownerSeenAt, c.generation
	s.era++
	s.wake()
	return lost
}

// WriteAgain appends a lost record. The sequence of a registration rises, as it does with all that an upstream
// writes.
func (s *Store) WriteAgain(r LostRecord) {
	if r.topic == TopicUpstreams && len(r.value) > 0 {
		r.value = withNextSequence(r.value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.topic)
	t.records = append(t.records, storeRecord{r.key, r.value})
	s.wake()
}

// withNextSequence returns a registration with the next sequence.
func withNextSequence(value []byte) []byte {
	var fields map[string]any
	if err := json.Unmarshal(value, &fields); err != nil {
		panic(err) // a bug in this package
	}
	sequence, _ := fields["seq_no"].(float64)
	fields["seq_no"] = sequence + 1
	out, err := json.Marshal(fields)
	if err != nil {
		panic(err) // a bug in this package
	}
	return out
}

// newest returns the newest value of each key.
func (t topic) newest() map[string][]byte {
	out := map[string][]byte{}
	for _, rec := range t.records {
		out[rec.key] = rec.value
	}
	return out
}

// newestRecords returns the newest record of each key, sorted by key.
func (t topic) newestRecords() (out []storeRecord) {
	newest := t.newest()
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		out = append(out, storeRecord{key, newest[key]})
	}
	return out
}

// wake wakes the reads that wait; s.mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Records returns the records of a topic.
func (s *Store) Records(name string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for _, rec := range s.topic(name).records {
		out = append(out, rec.value)
	}
	return out
}
