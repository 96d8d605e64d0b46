package policy

import (
	"testing"
	"time"
)

func TestRetriesToKeep(t *testing.T) {
	for name, tc := range map[string]struct {
		accepted, refused int
		later             time.Duration
		want              int
	}{
		"no outcomes":         {0, 0, 0, 0},
		"one refusal":         {0, 1, 0, 0},
		"few refusals":        {95, 5, 0, 0},
		"one in four":         {15, 5, 0, 1},
		"three in five":       {8, 12, 0, 1},
		"two in three":        {10, 21, 0, 2},
		"all":                 {0, 20, 0, maxKeptRetries},
		"all, some time ago":  {0, 20, 2 * handoffMemory, 0},
		"half, a second ago":  {10, 10, time.Second, 1},
		"nine in ten refused": {2, 18, 0, maxKeptRetries},
	} {
		var h Handoffs
		for i := range tc.accepted + tc.refused {
			h.RecordOutcome(t0, i < tc.accepted)
		}
		if got := h.RetriesToKeep(t0.Add(tc.later)); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}
