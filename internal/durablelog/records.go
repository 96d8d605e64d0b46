package durablelog

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/logpos"
)

// records remembers which records this daemon knows to be in a topic, or has tried to append. It is not
// safe for concurrent use.
//
// Load pattern: records come all the time, a few or hundreds a second, and one in days the log is
// restored from a copy some seconds old. What lies there for longer than memory is in the copy.
type records[R comparable] struct {
	memory time.Duration
	limit  int

	entries map[R]*entry
	// order holds the records in the order of their times, from index first on. A record that was
	// added again stands there twice.
	order []timed[R]
	first int
	// marks are the ends of the topic that this daemon has seen, at most one a second, oldest first.
	marks []mark
}

// entry is what is known of a record.
type entry struct {
	at time.Time
	// epoch is the last one in which the record was in the topic. attempted is the epoch of an append
	// without an answer, zero if there is none: the record may be in the topic.
	epoch, attempted logpos.Epoch
}

// timed is a record with the time at which it was added.
type timed[R comparable] struct {
	record R
	at     time.Time
}

// mark is an end of the topic, with the time at which it was seen.
type mark struct {
	at  time.Time
	end uint64
}

// markInterval is the least time between two marks.
const markInterval = time.Second

func newRecords[R comparable](memory time.Duration, limit int) records[R] {
	return records[R]{memory: memory, limit: limit, entries: map[R]*entry{}}
}

// add records that the topic has records, and where it ends.
func (k *records[R]) add(now time.Time, end logpos.Position, list []R) {
	for _, r := range list {
		k.touch(now, r).epoch = end.Epoch
	}
	if last := len(k.marks) - 1; last < 0 || now.Sub(k.marks[last].at) >= markInterval {
		k.marks = append(k.marks, mark{now, end.Offset})
	}
	k.forget(now)
}

// attempt records an append without an answer, in an epoch.
func (k *records[R]) attempt(now time.Time, epoch logpos.Epoch, list []R) {
	for _, r := range list {
		e := k.touch(now, r)
		if e.epoch == 0 {
			e.epoch = epoch
		}
		e.attempted = epoch
	}
	k.forget(now)
}

// touch returns the entry of a record, which it adds if there is none.
func (k *records[R]) touch(now time.Time, r R) *entry {
	e := k.entries[r]
	if e == nil {
		e = &entry{}
		k.entries[r] = e
	}
	e.at = now
	k.order = append(k.order, timed[R]{r, now})
	return e
}

// forget drops what is older than the memory or over the limit.
func (k *records[R]) forget(now time.Time) {
	for k.first < len(k.order) {
		oldest := k.order[k.first]
		if len(k.entries) <= k.limit && now.Sub(oldest.at) < k.memory {
			break
		}
		if e := k.entries[oldest.record]; e != nil && e.at.Equal(oldest.at) {
			delete(k.entries, oldest.record)
		}
		k.first++
	}
	if k.first > len(k.order)/2 {
		k.order = append([]timed[R](nil), k.order[k.first:]...)
		k.first = 0
	}
	// The newest mark that is older than the memory is kept.
	for len(k.marks) > 1 && now.Sub(k.marks[1].at) >= k.memory {
		k.marks = k.marks[1:]
	}
}

// lost returns the records that are not known to be in the topic in an epoch, oldest first.
func (k *records[R]) lost(epoch logpos.Epoch) (list []R) {
	listed := map[R]bool{}
	for _, t := range k.order[k.first:] {
		if e := k.entries[t.record]; e != nil && epoch.After(e.epoch) && !listed[t.record] {
			listed[t.record] = true
			list = append(list, t.record)
		}
	}
	return list
}

// restart returns the offset from which the topic must be read again after a restoration: a copy that
// is younger than the memory has all records before it.
func (k *records[R]) restart(now time.Time) uint64 {
	k.forget(now)
	if len(k.marks) == 0 || now.Sub(k.marks[0].at) < k.memory {
		return 0
	}
	return k.marks[0].end
}

// unwritten returns the records of a list that are still to be appended. It leaves out those whose
// append had no answer and that were found in the topic, or appended to it, in a later epoch. ok is
// false if that is not known yet, in the present epoch.
func (k *records[R]) unwritten(present logpos.Epoch, list []R) (rest []R, ok bool) {
	for _, r := range list {
		e := k.entries[r]
		switch {
		case e == nil || e.attempted == 0 || !present.After(e.attempted):
			rest = append(rest, r)
		case present.After(e.epoch):
			return nil, false
		}
	}
	return rest, true
}

// settle records that the append of a list was answered: who appends one of its records from now on
// has another one that is equal.
func (k *records[R]) settle(list []R) {
	for _, r := range list {
		if e := k.entries[r]; e != nil {
			e.attempted = 0
		}
	}
}
