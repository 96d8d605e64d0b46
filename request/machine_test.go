package request

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// checker feeds events to a Machine and checks the actions that it returns; it performs none of
// them.
type checker struct {
	*Machine
	t       *rapid.T
	now     time.Time
	emitted int
	ends    int
	calls   map[int]Action
	// held contains the engines that may hold memory, as "attempt engine".
	held      map[string]bool
	delivered bool // the request may have reached an engine
	pending   bool // the latest call sends the request to an engine and may have been delivered
	plans     int
	// bothSince is since when a stalled call has been open beside the decode call of its replacement;
	// zero if it is not.
	bothSince time.Time
	// unplanned is set while the latest plan has led to no call.
	// offered is set if it offers a prefill result again.
	unplanned, offered bool
	// sent contains the engines that may have received the request itself.
	sent map[string]bool
	// mayAnswerWithError allows event to draw failed calls that carry an error answer of the
	// engine; errorAnswerSeen is set once a decode call failed with one.
	mayAnswerWithError, errorAnswerSeen bool
	// acceptedCall is the last decode call that its engine accepted.
	acceptedCall int
}

func newChecker(t *rapid.T, c Completion, limits Limits) *checker {
	k := &checker{t: t, now: c.Accepted, Machine: NewMachine(c, limits), calls: map[int]Action{}, held: map[string]bool{}, sent: map[string]bool{}}
	k.step(Event{Kind: EventStart})
	return k
}

func (k *checker) step(ev Event) {
	wasEnded := k.ends > 0
	k.settle(ev)
	for _, a := range slices.Clone(k.Step(k.now, ev)) {
		if wasEnded {
			k.t.Fatalf("action %+v after the end", a)
		}
		k.check(a)
	}
	k.checkOneEngine()
	if k.ends > 0 && len(k.held) > 0 {
		k.t.Fatalf("ended while %v may hold memory", k.held)
	}
}

// settle records what an event proves about the latest call.
func (k *checker) settle(ev Event) {
	a, ok := k.calls[ev.Call]
	if k.isStalledCall(ev.Call) && k.engineAccepted(ev, k.stalled.attempt) {
		k.acceptedCall = ev.Call
	}
	if !ok || ev.Call != k.call || k.state == StatePlanning || k.state == StateEnded {
		return
	}
	if a.Step == StepDecode && k.engineAccepted(ev, k.attempt) {
		k.delivered, k.acceptedCall = true, ev.Call
	}
	if ev.Kind == EventCallFailed && ev.Answer != nil && a.Step == StepDecode {
		k.delivered, k.errorAnswerSeen = true, true
	}
	if k.acceptedCall == ev.Call {
		return
	}
	if ev.Kind == EventUpstreamLeaving || ev.Kind == EventStaleView || ev.Kind == EventOriginInDoubt || ev.Kind == EventQuarantined ||
		ev.Kind == EventCallFailed && (ev.Delivery == upstream.NotSent || ev.Delivery == upstream.Refused) {
		k.pending = false
		if a.Step == StepDecode {
			delete(k.sent, a.Target.Name)
		}
		if a.Step == StepPrefill || a.Step == StepReserve { // the first call to that engine
			delete(k.held, holdKey(a))
		}
	}
}

// engineAccepted reports whether an event proves that the engine accepted the call. Later events
// that say the opposite are then ignored.
func (k *checker) engineAccepted(ev Event, attempt int) bool {
	own := ev.Chunk.RequestID == k.c.ID && ev.Chunk.Attempt == attempt
	return ev.Kind == EventOpened || ev.Kind == EventChunk && own && ev.Chunk.Imported
}

// isStalledCall reports whether a call is that of the stalled attempt.
func (k *checker) isStalledCall(call int) bool { return k.stalled != nil && call == k.stalled.call }

func holdKey(a Action) string { return fmt.Sprint(a.Attempt, " ", a.Target.Name) }

func (k *checker) check(a Action) {
	switch a.Kind {
	case ActionPlan:
		k.beginCall(false)
		if !a.AfterWait {
			k.plans++
		}
		k.unplanned = true
		k.checkHeldAtPlan(a)
		mostAttempts := k.limits.MaxAttempts
		if k.limits.ReofferPrefills {
			mostAttempts *= 2 // each result may be offered once more
		}
		if k.plans > mostAttempts+k.limits.MaxRefusals {
			k.t.Fatal("too many attempts")
		}
		if !k.c.mayRunAgain() && k.delivered {
			k.t.Fatal("a second attempt after one that may have been delivered")
		}
	case ActionDispatch:
		k.beginCall(a.Step.carriesRequest() && (a.Step != StepPrefill || !k.limits.PrefillRepeatable))
		if a.Step == StepDecode {
			k.sent[a.Target.Name] = true
		}
		if k.c.MaxSends > 0 && len(k.sent) > k.c.MaxSends {
			k.t.Fatalf("sent to %v", k.sent)
		}
		k.calls[a.Call] = a
		k.held[holdKey(a)] = true
		k.unplanned = false
	case ActionKeepStalled:
		if k.unplanned && !k.offered { // it does not count as an attempt
			k.plans--
		}
	case ActionCancel:
		delete(k.held, holdKey(a))
	case ActionEmit:
		if a.Index != k.emitted || a.Text != text(a.Index) {
			k.t.Fatalf("emitted %d %q after %d tokens", a.Index, a.Text, k.emitted)
		}
		k.emitted++
	case ActionFinish, ActionFail, ActionAnswer:
		k.end(a)
	}
}

// checkHeldAtPlan checks that between two attempts nothing may hold memory but the engines of a
// stalled attempt and the prefill engine whose result the next one offers again.
func (k *checker) checkHeldAtPlan(a Action) {
	others := 0
	for key := range k.held {
		if k.heldByStalled(key) {
			continue
		}
		others++
		if a.Reoffered.Name == "" || !strings.HasSuffix(key, " "+a.Reoffered.Name) {
			k.t.Fatalf("planned again while %v may hold memory", k.held)
		}
	}
	if a.Reoffered.Name != "" && others != 1 {
		k.t.Fatalf("offers a result of %s again while %v may hold memory", a.Reoffered.Name, k.held)
	}
}

// heldByStalled reports whether a key of held is that of an engine of the stalled attempt.
func (k *checker) heldByStalled(key string) bool {
	if k.stalled == nil {
		return false
	}
	for r := range roleCount {
		if k.stalled.mayHoldMemory[r] && key == holdKey(k.stalled.release(r)) {
			return true
		}
	}
	return false
}

func (k *checker) end(a Action) {
	if k.ends++; k.ends > 1 {
		k.t.Fatal("ended twice")
	}
	if a.Kind == ActionAnswer {
		if k.emitted > 0 {
			k.t.Fatal("another answer after the first token")
		}
		k.forgetHeld() // the engine has answered and consumed the handle
		return
	}
	if a.Kind == ActionFinish {
		if k.emitted != answerLength {
			k.t.Fatalf("finished after %d tokens of %d", k.emitted, answerLength)
		}
		k.forgetHeld() // the engine has freed its memory itself
		return
	}
	want := errkind.NotRun
	switch {
	case k.emitted > 0, k.errorAnswerSeen:
		want = errkind.Ran
	case k.delivered || k.pending:
		want = errkind.Unknown
	}
	if a.Err.Kind == errkind.CrashesUpstreams && want == errkind.NotRun {
		want = errkind.Unknown // earlier requests with the same content have run
	}
	if a.Err.Run != want {
		k.t.Fatalf("failed with run state %q, want %q", a.Err.Run, want)
	}
}

// forgetHeld forgets what engines hold for the current attempt.
func (k *checker) forgetHeld() {
	for r := range roleCount {
		delete(k.held, holdKey(k.release(r)))
	}
}

// checkOneEngine checks that two engines don't work on the answer for longer than they may: since the
// decode call of a replacement was sent, while the stalled call is open.
func (k *checker) checkOneEngine() {
	const most = 400 * time.Millisecond
	if k.stalled == nil || k.State() != StateImporting && k.State() != StateStreaming {
		k.bothSince = time.Time{}
		return
	}
	if k.bothSince.IsZero() {
		k.bothSince = k.now
	}
	if both := k.now.Sub(k.bothSince); both > most {
		k.t.Fatalf("two engines for %v, the last step is %s", both, k.lastStep)
	}
}

// beginCall records the start of a call or a plan; carries is set if it sends the request to an
// engine. The previous call counts as possibly delivered unless it was proven to have had no
// effect.
func (k *checker) beginCall(carries bool) {
	k.delivered = k.delivered || k.pending
	k.pending = carries
}

// answerLength is the length of the only correct answer, whose tokens are text(i).
const answerLength = 5

func text(i int) string { return fmt.Sprint("t", i) }

var plans = []policy.Plan{
	{Decode: policy.Replica{Name: "d0"}, Prefill: policy.Replica{Name: "p0"}},
	{Decode: policy.Replica{Name: "d1"}, Prefill: policy.Replica{Name: "p1"}, PrefillFirst: true},
	{Wait: time.Second},
}

// event draws a random event of the latest call, of an older one, or of none. Tokens of the
// current attempt have the correct text; tokens of other attempts and requests have a wrong one.
func (k *checker) event() Event {
	t := k.t
	call, attempt := k.call, k.attempt
	if rapid.IntRange(0, 5).Draw(t, "older") == 0 {
		call = rapid.IntRange(0, k.Machine.calls).Draw(t, "call")
	}
	if k.stalled != nil && rapid.IntRange(0, 4).Draw(t, "stalled") == 0 {
		call, attempt = k.stalled.call, k.stalled.attempt
	}
	ev := Event{Call: call, Kind: EventKind(rapid.IntRange(int(EventPlanned), int(EventTick)).Draw(t, "kind"))}
	if rapid.IntRange(0, 2).Draw(t, "forward") > 0 { // usually an event that advances the request
		ev.Kind = map[State]EventKind{
			StatePlanning: EventPlanned, StateQueued: EventSlotAvailable, StateReserving: EventReserved, StatePrefilling: EventPrefilled,
			StateImporting: EventChunk, StateStreaming: EventChunk,
		}[k.state]
	}
	ev.Plan = &plans[rapid.IntRange(0, 2).Draw(t, "plan")]
	ev.Prefill, ev.Reservation = &engineapi.PrefillReply{PromptTokens: 3}, ""
	if k.limits.ReofferPrefills {
		ev.Prefill.Handle, ev.Reservation = "handle", "hold"
	}
	ev.Err = errkind.New(errkind.Overloaded, "")
	ev.Delivery = rapid.SampledFrom([]upstream.Delivery{upstream.Maybe, upstream.NotSent, upstream.Refused}).Draw(t, "delivery")
	if k.mayAnswerWithError && ev.Delivery == upstream.Maybe && rapid.Bool().Draw(t, "answer") {
		ev.Answer = &CallAnswer{Status: 500}
	}
	ev.Chunk = k.chunkEvent(attempt)
	return ev
}

func (k *checker) chunkEvent(attempt int) engineapi.Chunk {
	t := k.t
	c := engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: attempt}}
	i := rapid.IntRange(0, answerLength-1).Draw(t, "index")
	if next := len(k.tokens); next < answerLength && rapid.Bool().Draw(t, "next") {
		i = next
	}
	switch rapid.IntRange(0, 9).Draw(t, "chunk") {
	case 0:
		c.RequestID, c.Text, c.Index = "other", "wrong", len(k.tokens)
	case 1:
		c.Attempt--
		c.Text, c.Index = "wrong", len(k.tokens)
	case 2:
		c.Error = "out of memory"
	case 3:
		c.Imported = true
	case 4, 5:
		c.Done, c.Tokens = true, answerLength
		c.FinishReason = rapid.SampledFrom([]string{"stop", "length", "stop", "cancelled", ""}).Draw(t, "reason")
	default:
		c.Index, c.Text = i, text(i)
	}
	return c
}

// TestMachineAnyOrder feeds events in random order and checks that there is exactly one end
// and nothing after it, that tokens come once and in order, that the run state is correct,
// that each engine that may hold memory is cancelled, and that a non-idempotent request is not
// dispatched twice.
func TestMachineAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		k := newChecker(t, Completion{ID: "r", Accepted: at, Deadline: at.Add(time.Minute), NonIdempotent: rapid.Bool().Draw(t, "once")}, DefaultLimits())
		k.run(at)
	})
}

// attachedLimits returns limits like those of attached daemons.
func attachedLimits() Limits {
	l := DefaultLimits()
	l.MaxRefusals, l.MaxResumes, l.PrefillRepeatable = 5, 0, true
	l.ReofferPrefills = true
	return l
}

// TestMachineAnyOrderAttached makes the checks of TestMachineAnyOrder with the limits of an
// attached daemon: refusals that cost no attempt, prefills that do not count as running the
// request, a bound on the engines that get the request, and engines that return error answers
// of their own.
func TestMachineAnyOrderAttached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		c := Completion{ID: "r", Accepted: at, Deadline: at.Add(time.Minute), SendOnce: rapid.Bool().Draw(t, "once"), MaxSends: rapid.IntRange(1, 2).Draw(t, "sends")}
		k := newChecker(t, c, attachedLimits())
		k.mayAnswerWithError = true
		k.run(at)
	})
}

// run feeds random events, and then a tick at the deadline.
func (k *checker) run(at time.Time) {
	t := k.t
	for range rapid.IntRange(0, 60).Draw(t, "events") {
		if rapid.IntRange(0, 3).Draw(t, "wake") == 0 {
			k.now = k.Wake()
			k.step(Event{Kind: EventTick})
			continue
		}
		k.now = k.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		if !k.now.Before(k.Wake()) { // the driver's timer fires first
			k.step(Event{Kind: EventTick})
		}
		k.step(k.event())
	}
	k.now = at.Add(time.Minute)
	k.step(Event{Kind: EventTick})
	if k.ends != 1 {
		t.Fatalf("%d ends at the deadline", k.ends)
	}
}

// TestMachineLateOutcome checks that a late event of an older attempt has no effect: a reserve
// call times out, the next attempt is planned, and then the first call's answer arrives. Events
// must be matched by call number and not only by kind.
func TestMachineLateOutcome(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second} { // of the ticks; a late one prolongs the call
		at := time.Unix(1000, 0)
		m := NewMachine(Completion{ID: "r", Deadline: at.Add(time.Minute)}, DefaultLimits())
		m.Step(at, Event{Kind: EventStart})
		first := m.Step(at, Event{Kind: EventPlanned, Plan: &plans[0]})[0].Call
		for m.State() == StateReserving {
			at = m.Wake().Add(delay)
			m.Step(at, Event{Kind: EventTick})
		}
		m.Step(at, Event{Kind: EventPlanned, Plan: &plans[0]})
		for _, kind := range []EventKind{EventReserved, EventPrefilled, EventOpened, EventCallFailed, EventUpstreamLeaving, EventStaleView, EventChunk, EventStreamEnded} {
			if a := m.Step(at, Event{Kind: kind, Call: first, Prefill: &engineapi.PrefillReply{}}); len(a) > 0 {
				t.Errorf("ticks %s late: late event %d led to %+v", delay, kind, a)
			}
		}
	}
}

// Guards against a stream that runs twice, because it is planned again after a call that was to resume it was not sent.
func TestMachineUnsentResume(t *testing.T) {
	at := time.Unix(1000, 0)
	limits := attachedLimits()
	limits.MaxResumes = 1
	m := NewMachine(Completion{ID: "r", Deadline: at.Add(time.Minute), SendOnce: true}, limits)
	m.Step(at, Event{Kind: EventStart})
	plan := plans[0]
	plan.SkipReserve, plan.SkipPrefill = true, true
	actions := m.Step(at, Event{Kind: EventPlanned, Plan: &plan})
	for _, delivery := range []upstream.Delivery{upstream.Maybe, upstream.NotSent} {
		call := actions[len(actions)-1]
		if call.Kind != ActionDispatch {
			t.Fatalf("%+v, want a call", call)
		}
		actions = m.Step(at, Event{Kind: EventCallFailed, Call: call.Call, Delivery: delivery})
	}
	if end := actions[len(actions)-1]; end.Kind != ActionFail || end.Err.Run != errkind.Unknown {
		t.Errorf("%+v, want an end with run state unknown", end)
	}
}

// TestMachineReplansQueuedRequest checks that a queued request asks for a new plan for the same
// attempt when it is woken or its waiting time has passed, and not earlier.
func TestMachineReplansQueuedRequest(t *testing.T) {
	at := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		kind  EventKind
		after time.Duration
		want  int
	}{
		"turn":       {EventSlotAvailable, 0, 1},
		"time":       {EventTick, time.Second, 1},
		"early tick": {EventTick, time.Millisecond, 0},
	} {
		m := NewMachine(Completion{ID: "r", Deadline: at.Add(time.Minute)}, DefaultLimits())
		m.Step(at, Event{Kind: EventStart})
		m.Step(at, Event{Kind: EventPlanned, Plan: &policy.Plan{Wait: time.Second}})
		got := m.Step(at.Add(tc.after), Event{Kind: tc.kind})
		if len(got) != tc.want || tc.want > 0 && (got[0].Kind != ActionPlan || !got[0].AfterWait || got[0].Attempt != 1) {
			t.Errorf("%s led to %+v", name, got)
		}
	}
}
