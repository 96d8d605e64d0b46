package relay

import (
	"testing"
	"time"
)

func TestFleetSize(t *testing.T) {
	all := []string{"a", "b", "c"}
	for _, tc := range []struct {
		heard map[string]int
		want  int
	}{
		{nil, 0},
		{map[string]int{"a": 3, "b": 2, "c": 2}, 7},
		{map[string]int{"a": 3, "c": 2}, 8},
		{map[string]int{"a": 59}, 177},
		{map[string]int{"a": 1, "z": 4}, 13}, // daemons may run in data centres that the settings do not list
	} {
		if got := FleetSize(tc.heard, all); got != tc.want {
			t.Errorf("%v: %d daemons, want %d", tc.heard, got, tc.want)
		}
	}
	if got := FleetSize(map[string]int{"a": 4}, nil); got != 4 {
		t.Errorf("%d daemons in the one data centre, want 4", got)
	}
}

// Guards against daemons that start during a network partition and use the whole of the
// fleet's shared limits. A data centre without a known daemon must not count as empty.
func TestUnreachableDataCentreIsNotEmpty(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), []string{"a", "b"})
	if n := r.ShareCount(t0); n != 0 {
		t.Errorf("counted %d daemons before any was known", n)
	}
	r.RecordCall(t0, peer("o", "a", 192))
	if n := r.ShareCount(t0.Add(time.Second)); n != 4 {
		t.Errorf("counted %d daemons, want twice those of data centre a", n)
	}
	r.RecordCall(t0, peer("x", "b", 192))
	if n := r.ShareCount(t0.Add(time.Second)); n != 4 {
		t.Errorf("counted %d daemons, want the largest number known so far", n)
	}
	if n := r.FleetSize(t0.Add(time.Second)); n != 3 {
		t.Errorf("%d daemons known, want 3", n)
	}
	follower := NewRoster(peer("f", "b", 192), []string{"a", "b"})
	follower.SetSuccession(r.Succession(t0, "b", nil))
	if n := follower.ShareCount(t0.Add(time.Second)); n != 4 {
		t.Errorf("a follower counts %d daemons, want 4", n)
	}
}
