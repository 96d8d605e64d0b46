package board

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/bundle"
)

// stating is what upstreams have stated, by name.
type stating map[string]availability.State

func newStatingBoard(s stating, names string) *Board {
	b := New(Config{ReportLag: time.Nanosecond, Stated: func(name string, _ int64) availability.State { return s[name] }})
	b.SetVersion(t0, version(1, names, nil))
	return b
}

func (s stating) state(b *Board, name string, state availability.State) {
	s[name] = state
	b.RecordStatement(name)
}

// Guards against a statement of an upstream that goes with its entry, or is outweighed by what versions,
// loads or peers say.
func TestStatementsOutliveEntries(t *testing.T) {
	for name, then := range map[string]func(b *Board){
		"nothing": func(*Board) {},
		"removed and listed again": func(b *Board) {
			b.SetVersion(t0, version(2, "a", nil))
			b.SetVersion(t0, version(3, "ab", nil))
		},
		"changed": func(b *Board) {
			b.SetVersion(t0, version(2, "ab", func(ups map[string]bundle.Upstream) {
				up := ups["b"]
				up.Address = "127.0.0.1:z"
				ups["b"] = up
			}))
		},
		"load":    func(b *Board) { b.ApplyReport(after(time.Second), "b", load(1, 1, 0), 0) },
		"success": func(b *Board) { b.RecordSuccess(after(time.Second), "b") },
	} {
		for kind, state := range map[string]availability.State{"leaving": {Leaving: true}, "rest": {RestEnd: after(time.Minute)}} {
			s := stating{}
			b := newStatingBoard(s, "ab")
			s.state(b, "b", state)
			then(b)
			if got := listedNames(b, after(2*time.Second)); got != "a" {
				t.Errorf("%s, %s: snapshot lists %q", kind, name, got)
			}
		}
	}
}

// Guards against a rest that counts as a failure, and against an upstream that gets all requests again
// at the moment when its rest ends.
func TestReturnAfterARest(t *testing.T) {
	s := stating{}
	b := newStatingBoard(s, "ab")
	s.state(b, "b", availability.State{RestEnd: after(3 * time.Second)})
	if got := listedNames(b, after(3*time.Second-1)); got != "a" {
		t.Errorf("in the rest the snapshot lists %q", got)
	}
	last := 0.0
	for _, tc := range []struct {
		at   time.Duration
		most float64
	}{{3 * time.Second, 0.15}, {5 * time.Second, 0.6}, {9 * time.Second, 1}} {
		r := findReplica(b.Snapshot(after(tc.at)), "b")
		if r == nil || r.Weight <= last || r.Weight > tc.most {
			t.Fatalf("after %v: %+v", tc.at, r)
		}
		last = r.Weight
	}
	if last != 1 {
		t.Errorf("weight %v at the end", last)
	}
	if h := b.entries["b"].health; h != (health{}) {
		t.Errorf("health %+v", h)
	}
}
