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

// Guards against requests that are refused although engines answer each of the calls that a reservation
// takes in time: the timeout of one call was that of all.
func TestEachReplyOfAReservationRestartsItsTimeout(t *testing.T) {
	start := time.Unix(1000, 0)
	m := NewMachine(Completion{Deadline: start.Add(time.Minute)}, DefaultLimits())
	m.Step(start, Event{Kind: EventStart})
	call := m.Step(start, Event{Kind: EventPlanned, Plan: &policy.Plan{}})[0].Call
	replied := start.Add(DefaultLimits().Reserve * 9 / 10)
	m.Step(replied, Event{Kind: EventReserving, Call: call})
	if got := m.Wake().Sub(replied); got != DefaultLimits().Reserve {
		t.Errorf("given up %s after a reply, want %s", got, DefaultLimits().Reserve)
	}
	late := m.Wake().Add(time.Second)
	m.Step(m.Wake(), Event{Kind: EventTick})
	if m.Step(late, Event{Kind: EventReserving, Call: call}); m.State() == StateReserving {
		t.Error("a reply that came late counts")
	}
}

// Guards against requests that are refused because their instance did not run for a moment, and took its engines
// for silent; and against a reservation that an instance which is always late never gives up.
func TestReservationOutlastsAPauseOfItsInstance(t *testing.T) {
	timeout := DefaultLimits().Reserve
	begin := func() (m *Machine, call int) {
		start := time.Unix(1000, 0)
		m = NewMachine(Completion{Deadline: start.Add(time.Minute)}, DefaultLimits())
		m.Step(start, Event{Kind: EventStart})
		return m, m.Step(start, Event{Kind: EventPlanned, Plan: &policy.Plan{}})[0].Call
	}
	m, call := begin()
	resumed := m.Wake().Add(2 * timeout)
	if actions := m.Step(resumed, Event{Kind: EventTick}); len(actions) > 0 || m.Wake().Sub(resumed) != timeout {
		t.Fatalf("after a pause: %+v, given up after %s more", actions, m.Wake().Sub(resumed))
	}
	if m.Step(resumed, Event{Kind: EventReserved, Call: call}); m.State() != StatePrefilling {
		t.Errorf("the reply is not used: %s", m.State())
	}
	for _, delay := range []time.Duration{0, minTickDelay, timeout / 5, timeout, 10 * timeout} {
		m, _ := begin()
		waited := time.Duration(0) // beside the delays
		for now := time.Unix(1000, 0); m.State() == StateReserving; {
			waited += m.Wake().Sub(now)
			now = m.Wake().Add(delay)
			m.Step(now, Event{Kind: EventTick})
		}
		if want := timeout; delay == 0 && waited != want || waited > 2*want {
			t.Errorf("with ticks %s late: given up after %s", delay, waited)
		}
	}
}
