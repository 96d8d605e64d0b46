package hedging

import (
	"testing"
	"time"
)

// Guards against silent replicas that nobody replaces, against dispatches beyond their bounds, and against
// hedges that bring further dispatches with them.
func TestCall(t *testing.T) {
	const silence = time.Second
	t0 := time.Unix(1000, 0)
	sent := func(h *Call) { h.Sent(t0) }
	for name, tc := range map[string]struct {
		h                           Call
		happened                    func(h *Call)
		attempts, ended, inProgress int
		after                       time.Duration // since the first dispatch
		want                        time.Duration
		ok, slow                    bool
	}{
		"just sent":                          {Call{Silence: silence, MaxAttempts: 3}, sent, 1, 0, 1, 0, silence, true, false},
		"silent for a while":                 {Call{Silence: silence, MaxAttempts: 3}, sent, 1, 0, 1, silence / 4, 3 * silence / 4, true, false},
		"silent for too long":                {Call{Silence: silence, MaxAttempts: 3}, sent, 1, 0, 1, 2 * silence, 0, true, false},
		"none found":                         {Call{Silence: silence, MaxAttempts: 3}, func(h *Call) { h.NotFound(t0.Add(silence)) }, 1, 0, 1, silence, seekInterval, true, false},
		"the latest failed":                  {Call{Silence: silence, MaxAttempts: 3}, func(h *Call) { h.Sent(t0); h.Lost(t0) }, 2, 1, 1, 0, 0, true, false},
		"sent to another one":                {Call{Silence: silence, MaxAttempts: 3}, func(h *Call) { h.Sent(t0); h.Sent(t0.Add(silence)) }, 2, 0, 2, silence, silence, true, false},
		"no attempt left":                    {Call{Silence: silence, MaxAttempts: 3}, sent, 3, 0, 1, 2 * silence, 0, false, false},
		"all sends in progress":              {Call{Silence: silence, MaxAttempts: 3, MaxSends: 2}, sent, 2, 0, 2, 2 * silence, 0, false, false},
		"one send ended, one in progress":    {Call{Silence: silence, MaxAttempts: 3, MaxSends: 2}, sent, 2, 1, 1, 2 * silence, 0, false, false},
		"refused dispatches are not counted": {Call{Silence: silence, MaxAttempts: 3, MaxSends: 2}, sent, 2, 0, 1, 2 * silence, 0, true, false},
		"slow":                               {Call{Silence: silence, SlowAfter: silence / 2, MaxAttempts: 3}, sent, 1, 0, 1, silence / 4, silence / 4, true, true},
		"slow, not hedged":                   {Call{Silence: silence, SlowAfter: silence / 2, MaxAttempts: 3}, func(h *Call) { h.Sent(t0); h.NotHedged() }, 1, 0, 1, silence / 2, silence / 2, true, false},
		"slow later than silent":             {Call{Silence: silence, SlowAfter: 2 * silence, MaxAttempts: 3}, sent, 1, 0, 1, 0, silence, true, false},
		"slow, no attempt left":              {Call{Silence: silence, SlowAfter: silence / 2, MaxAttempts: 1}, sent, 1, 0, 1, silence, 0, false, false},
		"hedged":                             {Call{Silence: silence, SlowAfter: silence / 2, MaxAttempts: 3}, func(h *Call) { h.Sent(t0); h.Hedged() }, 2, 0, 2, silence, silence, true, false},
		"the hedge failed":                   {Call{Silence: silence, SlowAfter: silence / 2, MaxAttempts: 3}, func(h *Call) { h.Sent(t0); h.Hedged(); h.HedgeLost() }, 2, 1, 1, silence / 2, silence / 2, true, false},
		"hedged once":                        {Call{Silence: silence, SlowAfter: silence / 2, MaxAttempts: 3}, func(h *Call) { h.Sent(t0); h.Hedged(); h.Sent(t0) }, 2, 1, 1, 0, silence, true, false},
		"must not be sent again":             {Call{MaxAttempts: 3}, sent, 1, 0, 1, time.Hour, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			tc.happened(&tc.h)
			got, why, ok := tc.h.Next(t0.Add(tc.after), Progress{tc.attempts, tc.ended, tc.inProgress})
			if got != tc.want || ok != tc.ok || ok && (why == Slow) != tc.slow {
				t.Errorf("got %v %s %t, want %v %t", got, why, ok, tc.want, tc.ok)
			}
		})
	}
}
