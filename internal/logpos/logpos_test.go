package logpos

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPositionBefore(t *testing.T) {
	for name, tc := range map[string]struct {
		p, o Position
		want bool
	}{
		"smaller offset":                      {Position{2, 3}, Position{2, 4}, true},
		"same":                                {Position{2, 4}, Position{2, 4}, false},
		"greater offset of an earlier epoch":  {Position{1, 9}, Position{2, 4}, true},
		"smaller offset of a later epoch":     {Position{3, 1}, Position{2, 4}, false},
		"smaller offset of an unknown epoch":  {Position{0, 3}, Position{2, 4}, true},
		"greater offset, other epoch unknown": {Position{2, 4}, Position{0, 3}, false},
	} {
		if got := tc.p.Before(tc.o); got != tc.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

// Guards against a daemon that ignores all that the store says because another daemon told an
// epoch that never was, and against one that uses an answer from before a restoration.
func TestTrackerCurrentResponses(t *testing.T) {
	var changes [][2]Epoch
	tracker := NewTracker(func(previous, current Epoch) { changes = append(changes, [2]Epoch{previous, current}) })
	for i, tc := range []struct {
		observe, learn Epoch
		current        bool
	}{
		{observe: 1, current: true},
		{learn: 9, observe: 1, current: true},
		{observe: 2, current: true},
		{observe: 1, current: false},
		{observe: 0, current: true},
	} {
		tracker.Learn(tc.learn)
		if got := tracker.Observe(tc.observe); got != tc.current {
			t.Errorf("response %d: current %t", i, got)
		}
	}
	if diff := cmp.Diff([][2]Epoch{{0, 1}, {1, 9}}, changes); diff != "" {
		t.Error(diff)
	}
}
