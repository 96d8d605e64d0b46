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
		{map[string]int{"a": 1, "z": 4}, 13}, // daemons may run where the settings do not say so
	} {
		if got := FleetSize(tc.heard, all); got != tc.want {
			t.Errorf("%v: %d daemons, want %d", tc.heard, got, tc.want)
		}
	}
	if got := FleetSize(map[string]int{"a": 4}, nil); got != 4 {
		t.Errorf("%d daemons in the one data centre, want 4", got)
	}
}

// Symptom: each of the daemons that start behind a cut takes all that the fleet shares.
// Sequence: a daemon starts and hears of nobody, then of those on its side.
// Cause: silence of the others taken for their absence.
func TestSilenceIsNoCount(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), []string{"a", "b"})
	if n := r.Sharing(t0); n != 0 {
		t.Errorf("counted %d daemons before any was heard of", n)
	}
	r.Heard(t0, peer("o", "a", 192))
	if n := r.Sharing(t0.Add(time.Second)); n != 4 {
		t.Errorf("counted %d daemons, want those of a twice", n)
	}
	r.Heard(t0, peer("x", "b", 192))
	if n := r.Sharing(t0.Add(time.Second)); n != 4 {
		t.Errorf("counted %d daemons: what was ever known in a life counts", n)
	}
	if n := r.Daemons(t0.Add(time.Second)); n != 3 {
		t.Errorf("heard of %d daemons, want 3", n)
	}
	follower := NewRoster(peer("f", "b", 192), []string{"a", "b"})
	follower.Told(r.Succession(t0, "b", nil))
	if n := follower.Sharing(t0.Add(time.Second)); n != 4 {
		t.Errorf("one that was told counts %d daemons, want 4", n)
	}
}
