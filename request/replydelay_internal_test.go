package request

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/policy"
)

// TestReservationsWaitOnABusyInstance guards against requests that are refused because every engine
// takes longer than usual to reply to reservations, as on an instance that is short of processor
// time, and against waits without bound for engines that are lost.
func TestReservationsWaitOnABusyInstance(t *testing.T) {
	limits := DefaultLimits()
	limits.Reserve = 150 * time.Millisecond
	r := &Runner{o: Options{Limits: limits}}
	now := time.Unix(1000, 0)
	delayAfter := func(took time.Duration) time.Duration {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			r.RecordReservationReply(now, took)
		}
		return r.replyDelay(now)
	}
	if got := delayAfter(5 * time.Millisecond); got != 0 {
		t.Errorf("with quick replies: %s", got)
	}
	busy := delayAfter(250 * time.Millisecond)
	if limits.Reserve+busy < 250*time.Millisecond {
		t.Errorf("with replies after 250 ms, one is given up after %s", limits.Reserve+busy)
	}
	if got := delayAfter(5 * time.Second); got != maxReplyDelay {
		t.Errorf("with replies after 5 s: %s, want %s", got, maxReplyDelay)
	}
	m := NewMachine(Completion{Deadline: now.Add(time.Minute)}, limits)
	m.Step(now, Event{Kind: EventStart})
	m.Step(now, Event{Kind: EventPlanned, Plan: &policy.Plan{ReplyDelay: busy}})
	if got := m.Wake().Sub(now); got != limits.Reserve+busy {
		t.Errorf("the reservation is given up after %s, want %s", got, limits.Reserve+busy)
	}
}
