package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// relayChanges sends the recent changes of one table to another, which receives them after delay.
func relayChanges(now time.Time, from, to *Table, delay time.Duration) {
	for _, r := range from.RecentChanges(now, false) {
		to.Observe(now.Add(delay), r.Observation(now.Add(delay)))
	}
}

// Guards against daemons that never learn of a limit, or of its end, because they send no requests
// to the upstream.
func TestLimitAndItsRemovalArePropagated(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(at(0), Observation{Upstream: upstream1, HasLimit: true, Limit: 5, At: at(0)})
	relayChanges(at(100), a, b, 50*time.Millisecond)
	if limit, ok := b.Limit(upstream1); !ok || limit != 5 {
		t.Fatalf("limit %g, in force: %t", limit, ok)
	}
	a.Observe(at(3000), Observation{Upstream: upstream1, At: at(2900)})
	relayChanges(at(3100), a, b, 50*time.Millisecond)
	if _, ok := b.Limit(upstream1); ok {
		t.Error("the limit is still in force after its end")
	}
}

// Guards against a delayed record of the end of a limit that clears a limit reported after it.
func TestOldRecordClearsNoLimit(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(at(0), Observation{Upstream: upstream1, HasLimit: true, Limit: 5, At: at(0)})
	a.Observe(at(1000), Observation{Upstream: upstream1, At: at(1000)})
	b.Observe(at(1100), Observation{Upstream: upstream1, HasLimit: true, Limit: 4, At: at(1100)})
	relayChanges(at(1200), a, b, transitMargin)
	if limit, ok := b.Limit(upstream1); !ok || limit != 4 {
		t.Errorf("limit %g, in force: %t", limit, ok)
	}
	relayChanges(at(1500), b, a, 0)
	if limit, ok := a.Limit(upstream1); !ok || limit != 4 {
		t.Errorf("table with the outdated state: limit %g, in force: %t", limit, ok)
	}
}

// Guards against calls that grow with the number of limits, and against a starting daemon that
// receives only recent changes instead of all limits.
func TestRecentChangesAreBounded(t *testing.T) {
	b := NewTable()
	for i := range 3 * maxRecords {
		b.Observe(at(i), Observation{Upstream: Upstream{Name: fmt.Sprint("i-", i)}, HasLimit: true, Limit: 1, At: at(i)})
	}
	if n := len(b.RecentChanges(at(200), false)); n != maxRecords {
		t.Errorf("%d records of recent changes", n)
	}
	if n := len(b.RecentChanges(at(20_000), false)); n != 0 {
		t.Errorf("%d records without recent changes", n)
	}
	if n := len(b.RecentChanges(at(20_000), true)); n != maxRecords {
		t.Errorf("%d records of the limits in force", n)
	}
}

func TestRecordOnTheWire(t *testing.T) {
	want := Record{Name: "i-1", Incarnation: 7, HasLimit: true, Limit: 0.25, Age: time.Second}
	raw, err := msgpack.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Record
	if err := msgpack.Unmarshal(raw, &got); err != nil || got != want || len(raw) > 40 {
		t.Errorf("decoded %+v, %v from %d bytes", got, err, len(raw))
	}
	for _, r := range []Record{{Limit: 1}, {Name: "i-1", Limit: -1}} {
		if r.Valid() {
			t.Errorf("record %+v is valid", r)
		}
	}
}
