package request

import (
	"testing"
	"time"
)

// Guards against silent replicas that nobody replaces, and against dispatches beyond their bounds.
func TestHedge(t *testing.T) {
	const silence = time.Second
	t0 := time.Unix(1000, 0)
	sent := func(h *hedge) { h.sent(t0) }
	for name, tc := range map[string]struct {
		h                           hedge
		happened                    func(h *hedge)
		attempts, ended, inProgress int
		after                       time.Duration // since the first dispatch
		want                        time.Duration
		ok                          bool
	}{
		"just sent":                          {hedge{silence: silence, maxAttempts: 3}, sent, 1, 0, 1, 0, silence, true},
		"silent for a while":                 {hedge{silence: silence, maxAttempts: 3}, sent, 1, 0, 1, silence / 4, 3 * silence / 4, true},
		"silent for too long":                {hedge{silence: silence, maxAttempts: 3}, sent, 1, 0, 1, 2 * silence, 0, true},
		"none found":                         {hedge{silence: silence, maxAttempts: 3}, func(h *hedge) { h.notFound(t0.Add(silence)) }, 1, 0, 1, silence, hedgeInterval, true},
		"the latest failed":                  {hedge{silence: silence, maxAttempts: 3}, func(h *hedge) { h.sent(t0); h.lost(t0) }, 2, 1, 1, 0, 0, true},
		"sent to another one":                {hedge{silence: silence, maxAttempts: 3}, func(h *hedge) { h.sent(t0); h.sent(t0.Add(silence)) }, 2, 0, 2, silence, silence, true},
		"no attempt left":                    {hedge{silence: silence, maxAttempts: 3}, sent, 3, 0, 1, 2 * silence, 0, false},
		"all sends in progress":              {hedge{silence: silence, maxAttempts: 3, maxSends: 2}, sent, 2, 0, 2, 2 * silence, 0, false},
		"one send ended, one in progress":    {hedge{silence: silence, maxAttempts: 3, maxSends: 2}, sent, 2, 1, 1, 2 * silence, 0, false},
		"refused dispatches are not counted": {hedge{silence: silence, maxAttempts: 3, maxSends: 2}, sent, 2, 0, 1, 2 * silence, 0, true},
		"must not be sent again":             {hedge{maxAttempts: 3}, sent, 1, 0, 1, time.Hour, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			tc.happened(&tc.h)
			got, ok := tc.h.wait(t0.Add(tc.after), tc.attempts, tc.ended, tc.inProgress)
			if got != tc.want || ok != tc.ok {
				t.Errorf("got %v %t, want %v %t", got, ok, tc.want, tc.ok)
			}
		})
	}
}
