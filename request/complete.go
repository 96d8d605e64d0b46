package request

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/admission"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// eventBuffer lets a stream's reader run a few tokens ahead of a slow caller.
const eventBuffer = 8

// driver runs one Machine in the caller's goroutine. Calls to engines run in goroutines of
// their own, one at a time and a stalled one beside it.
type driver struct {
	r    *Runner
	c    Completion
	sink Sink
	m    *Machine
	rng  *rand.Rand
	// throttleDraw is the random number in [0,1) that checkThrottle compares with the
	// admission probability of the model's throttle.
	throttleDraw float64
	prefix       []uint64 // chained hashes of the prompt's blocks
	// subject identifies the caller's request in the quarantine.
	subject  quarantine.Subject
	entry    *Active
	notAfter time.Time // no dispatch at or after this time; zero means no limit

	// baseCtx is not cancelled when the caller leaves, so that the machine sees an
	// EventCallerGone and not a failed call.
	baseCtx       context.Context
	calls         conc.WaitGroup
	events        chan Event
	pendingEvents []Event // events that actions produced synchronously
	// pauseEvents delivers EventPaused and EventUnpaused.
	pauseEvents chan Event
	// waiter is the request's entry in the queue for a decode slot; nil when it does not wait.
	waiter *waiter
	// ticket is the request's place in the queue of all daemons; nil when it has none. turn is the
	// turn that it has got, nil if none; turnPlans counts the attempts planned in it, and turnRefusals
	// the reservations that engines refused in it.
	ticket                  *admission.Ticket
	turn                    *admission.GrantedTurn
	turnPlans, turnRefusals int
	// unorderedUntil is until when the request asks without turns, because its coordinator was lost or
	// did not take it.
	unorderedUntil time.Time
	// attemptResources belong to the current attempt. stalled belongs to the attempt that it is to
	// replace and whose call is still open; nil if there is none.
	attemptResources
	stalled *attemptResources
	// origin is where the stream began that the caller gets.
	origin Origin
	// currentTry is the attempt's number, not counting attempts that ended with a refused
	// reservation; tryStartedAt is when it started.
	currentTry   int
	tryStartedAt time.Time

	timer        *time.Timer
	timerAt      time.Time // when timer fires; zero once it has fired
	bundleNumber uint64    // the number of the bundle that the last plan used
	// teamDone ends the request's Inflight entry; nil when there is none.
	teamDone func()
	// limitedCount is the number of engines that the last plan excluded because of their rate limits.
	limitedCount      int
	aheadTokens       int // prompt tokens that the prefill engine has to compute before this prompt
	lastTokenAt       time.Time
	firstTokenAt      time.Time // when the first token was delivered, by attempt firstTokenAttempt
	firstTokenAttempt int
	shownState        State // the state shown on the administration listener
	result            result
}

// attemptResources are what an attempt occupies and what is known of its engines.
type attemptResources struct {
	cancelCall context.CancelFunc // cancels the call in flight
	// callDone and attemptDone end the Inflight entries of the call in flight and of the attempt;
	// nil when there is no entry. slotPool is the pool of the decode slot that the attempt occupies.
	callDone    func()
	attemptDone func()
	slotPool    string
	// reservedMemory is the memory that the decode engine has reserved for the attempt, in tokens; 0
	// if it has reserved none.
	reservedMemory int
	// heldLimits holds the functions that return the units which the attempt took from its
	// engines' rate limits and has not used.
	heldLimits engineLimits
	// pausableEntry is the attempt's entry in Runner.pausableDrafts, which a pause removes from there;
	// pausedDraft is the other request that was paused to make room for this attempt. Both are nil
	// when there is none.
	pausableEntry *pausableDraft
	pausedDraft   *pausableDraft
	// decodeTarget is the attempt's decode engine, and decodeReplica its state when it was chosen.
	// prefillName is the prefill engine.
	decodeTarget  Target
	decodeReplica policy.Replica
	prefillName   string
	// decodeSentAt is when the last decode call was sent.
	decodeSentAt time.Time
	// undeliveredPrefill is the number of prompt tokens that the attempt's prefill computed;
	// it is reset when the attempt's first token is delivered.
	undeliveredPrefill int
	verdict            Verdict // holds the predictions of the plan
}

// result is the outcome of the request.
type result struct {
	reason string
	usage  Usage
	err    *errkind.Error
}

// Complete runs one completion and answers it through sink exactly once. When it returns, no
// goroutine of the request is running in this process; only cancels may still be pending.
// Cancelling ctx, which is the caller's context, cancels the work.
func (r *Runner) Complete(ctx context.Context, c Completion, sink Sink) {
	entry, leave := r.register(Active{ID: c.ID, Team: c.Team, Class: c.Class, Target: c.Model, accepted: c.Accepted, deadline: c.Deadline})
	defer leave()
	if !c.NonIdempotent {
		r.runMachine(ctx, c, sink, entry, time.Time{})
		return
	}
	r.completeOnce(ctx, c, sink, entry)
}

// runMachine runs the machine until its terminal action. If notAfter is set, nothing is
// dispatched at or after that time.
func (r *Runner) runMachine(ctx context.Context, c Completion, sink Sink, entry *Active, notAfter time.Time) *driver {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	d := &driver{
		r:            r,
		c:            c,
		sink:         sink,
		m:            NewMachine(c, r.limits()),
		rng:          r.newRand(c.ID),
		throttleDraw: r.newRand(c.ID).Float64(),
		prefix:       prefixOf(c),
		subject:      c.subject(),
		entry:        entry,
		origin:       c.Origin,
		notAfter:     notAfter,
		baseCtx:      base,
		events:       make(chan Event, eventBuffer),

		attemptResources: attemptResources{cancelCall: func() {}},
		pauseEvents:      make(chan Event, pauseEventBuffer),
		timer:            time.NewTimer(time.Hour),
	}
	defer d.calls.Wait()
	defer stop()
	defer d.timer.Stop()
	defer d.endRequest()
	r.sizes.add(r.o.Now(), c.Model, d.promptTokens(), d.medianAnswerTokens())
	r.o.RetryBudget(c.Model).OnFirstAttempt(r.o.Now())
	if ctx.Err() != nil { // the caller left before the start: send nothing
		d.handleEvent(d.contextEnded(ctx))
	} else {
		d.handleEvent(Event{Kind: EventStart})
	}
	for d.m.State() != StateEnded {
		d.resetTimer()
		d.handleEvent(d.nextEvent(ctx))
	}
	d.observeEnd()
	return d
}

// nextEvent waits for the next event.
func (d *driver) nextEvent(ctx context.Context) Event {
	select {
	case ev := <-d.events:
		return ev
	case ev := <-d.pauseEvents:
		return ev
	case <-d.waiter.readyChan():
		return Event{Kind: EventSlotAvailable}
	case turn, ok := <-d.ticket.Turns():
		return d.takeTurn(turn, ok)
	case <-ctx.Done():
		return d.contextEnded(ctx)
	case <-d.r.shutdownCtx.Done():
		return Event{Kind: EventDrainLimit}
	case <-d.timer.C:
		d.timerAt = time.Time{}
		return d.eventBeforeTick()
	}
}

// eventBeforeTick returns an event that has arrived, or the tick if there is none. On a busy machine
// a response may wait here while the timeout of its call passes; the upstream has answered in time.
func (d *driver) eventBeforeTick() Event {
	select {
	case ev := <-d.events:
		return ev
	default:
		return Event{Kind: EventTick}
	}
}

// contextEnded returns the event for the end of the caller's context: a tick if its deadline
// passed, otherwise EventCallerGone.
func (d *driver) contextEnded(ctx context.Context) Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !d.r.o.Now().Before(d.c.Deadline) {
		return Event{Kind: EventTick}
	}
	return Event{Kind: EventCallerGone}
}

// resetTimer makes the timer fire no later than the machine's next wake time. If the wake
// time has moved to a later time, the timer is not reset: the machine ignores an early tick, and
// a reset per token would cost more than an occasional extra tick.
func (d *driver) resetTimer() {
	wake := d.m.Wake()
	if d.timerAt.IsZero() || wake.Before(d.timerAt) {
		d.timerAt = wake
		d.timer.Reset(wake.Sub(d.r.o.Now()))
	}
}

// handleEvent feeds one event to the machine, performs the resulting actions, and feeds the
// events that these produce synchronously.
func (d *driver) handleEvent(ev Event) {
	if ev.Kind == EventPrefilled {
		d.undeliveredPrefill = ev.Prefill.PromptTokens - ev.Prefill.CachedTokens
	}
	if ev.Kind == EventReserved {
		d.noteReserved(ev)
	}
	d.pendingEvents = append(d.pendingEvents[:0], ev)
	for i := 0; i < len(d.pendingEvents); i++ {
		for _, a := range d.m.Step(d.r.o.Now(), d.pendingEvents[i]) {
			d.perform(a)
		}
	}
}

func (d *driver) perform(a Action) {
	switch a.Kind {
	case ActionPlan:
		d.planAttempt(a)
	case ActionDispatch:
		d.dispatch(a)
	case ActionCancel:
		if !a.Stalled {
			d.endCall()
		}
		d.r.canceller.add(a.Target.Address, cancelTask{work: engineapi.CancelRequest{WorkID: d.workID(a), Upstream: a.Target.Name, Reservation: a.Reservation, Handle: a.Handle}})
		d.logAttemptDecision(a.Attempt, "cancel", a.Target.Name, "attempt-ended")
	case ActionReportFailure:
		if a.TimedOut {
			d.logAttemptDecision(a.Attempt, a.Step.String(), a.Target.Name, "timed-out")
		}
		if a.Step == StepPrefill && a.TimedOut {
			d.r.RecordPrefill(d.r.o.Now(), d.c.Model, true)
			d.r.o.Observer.PrefillTimedOut(d.r.o.Now(), d.c.Model)
		}
		if a.Unanswered {
			d.r.o.Observer.Unanswered(d.r.o.Now(), a.Target.Name, a.Reached)
		} else {
			d.r.o.Observer.Failed(d.r.o.Now(), a.Target.Name)
		}
	case ActionEmit:
		d.emit(a)
	case ActionFinish:
		d.finish(a)
	case ActionFail:
		d.fail(a)
	case ActionOpen:
		if s, ok := d.sink.(PassThroughSink); ok {
			s.Open(*a.Head)
		}
	case ActionAnswer:
		d.answer(a)
	case ActionReportHandoff:
		d.r.handoffs.forModel(d.c.Model).RecordOutcome(d.r.o.Now(), a.Accepted)
		d.r.o.Observer.HandedOff(d.r.o.Now(), a.From.Name, a.Target.Name, a.Accepted)
		if !a.Accepted {
			d.logDecision("decode", a.Target.Name, "handoff-refused")
		}
	case ActionStall:
		d.stall()
	case ActionKeepStalled:
		d.keepStalled()
	case ActionEndStalled:
		d.endStalled()
	case ActionLogStall:
		d.logStall(a)
	case ActionReportAnswered:
		d.r.o.Observer.Answered(d.r.o.Now(), a.Target.Name)
	case ActionReportFull:
		d.r.o.Observer.Answered(d.r.o.Now(), a.Target.Name)
		if a.Step == StepPrefill {
			d.r.o.Observer.PromptRefused(d.r.o.Now(), a.Target.Name)
		} else {
			d.r.o.Observer.Full(d.r.o.Now(), a.Target.Name)
			d.turnRefusals++
		}
		d.logDecision(a.Step.String(), a.Target.Name, "full")
	}
}

func (d *driver) emit(a Action) {
	if a.Index == 0 {
		d.recordOrigin(d.r.o.Now()) // before the caller can take the stream up
	}
	if err := d.sink.Token(a.Index, a.Text); err != nil {
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventCallerGone})
		return
	}
	d.showState()
	d.entry.delivered.Store(int64(a.Index + 1))
	now := d.r.o.Now()
	d.undeliveredPrefill = 0
	d.addToPausable(a)
	if a.Index == 0 {
		d.firstTokenAt, d.firstTokenAttempt = now, a.Attempt
		d.r.o.Metrics.FirstToken(d.c.Class, now.Sub(d.c.Accepted))
	} else {
		d.r.o.Metrics.NextToken(d.c.Class, now.Sub(d.lastTokenAt))
	}
	d.lastTokenAt = now
}

func (d *driver) finish(a Action) {
	d.result = result{reason: a.Reason, usage: a.Usage}
	d.sink.Finish(a.Reason, a.Usage)
	now := d.r.o.Now()
	chunks := len(d.m.Tokens())
	ran := d.subject
	if chunks == 0 { // the engine wrote nothing of an answer
		ran = ran.WithoutParts()
	}
	d.r.o.Quarantine.RecordCompletion(now, ran)
	d.r.o.Observer.Succeeded(now, a.Target.Name)
	tokens := chunks * d.r.o.ChunkTokens(d.c.Model)
	d.r.answers.forModel(d.c.Model).Add(now, tokens, d.expectedTokens())
	f := FinishObservation{
		Model: d.c.Model, Upstream: a.Target.Name, PromptTokens: d.promptTokens() - chunks, AnswerTokens: tokens,
		ExpectedTokens: d.expectedTokens(), Held: now.Sub(d.decodeSentAt),
	}
	f.PerToken = d.meanTokenInterval(chunks)
	d.r.o.Observer.Finished(now, f)
	d.logDecision("finish", a.Target.Name, a.Reason)
}

// answer passes an engine's own error answer to the caller.
func (d *driver) answer(a Action) {
	s, ok := d.sink.(PassThroughSink)
	if !ok {
		a.Err = errkind.New(errkind.UpstreamFailed, "the engine failed").WithRun(errkind.Ran)
		d.fail(a)
		return
	}
	d.r.o.Quarantine.RecordCompletion(d.r.o.Now(), d.subject.WithoutParts()) // an error is no answer to the prompt
	s.Answer(*a.Answer)
	d.logDecision("finish", a.Target.Name, http.StatusText(a.Answer.Status))
}

func (d *driver) fail(a Action) {
	err := a.Err.WithRun(reportedRun(a.Err.Run, d.notAfter, d.r.o.Now()))
	d.result = result{err: err}
	d.sink.Fail(err)
	d.logDecision("fail", d.entry.Upstream, string(a.Err.Kind))
}

func (d *driver) observeEnd() {
	now := d.r.o.Now()
	var kind errkind.Kind
	if d.result.err != nil {
		kind = d.result.err.Kind
	}
	d.logVerdict()
	d.r.o.Metrics.Ended(d.c.Class, kind, d.m.Run(), now.Sub(d.c.Accepted))
	if drops := d.m.Drops(); drops != (Drops{}) {
		d.r.o.Metrics.Dropped(drops)
	}
}

// logDecision logs a decision about the current attempt.
func (d *driver) logDecision(step, upstreamName, reason string) {
	d.logAttemptDecision(d.m.Attempt(), step, upstreamName, reason)
}

func (d *driver) logAttemptDecision(attempt int, step, upstreamName, reason string) {
	d.r.logDecision(Decision{
		Request: d.c.ID, Team: cmp.Or(d.c.Team, d.c.CallerTeam), Class: d.c.Class, Attempt: attempt, Step: step,
		Upstream: upstreamName, Prefill: d.entry.Prefill, Version: d.decodeReplica.Version, From: d.eventsHeld(), Resumes: d.c.Resumes,
		Reason: reason, Bundle: d.bundleNumber,
	})
}

// eventsHeld returns the number of events that the caller has of the stream, with those of its
// earlier tries.
func (d *driver) eventsHeld() int {
	n := len(d.m.Tokens())
	if d.c.Original != nil {
		n += d.c.Original.FirstIndex
	}
	return n
}

// endCall cancels the call in flight and ends its Inflight entry.
func (d *driver) endCall() {
	d.cancelCall()
	callOnce(&d.callDone)
}

// endAttempt cancels the call in flight and releases what the attempt occupies: rate limit
// units, the draft that it paused and its decode slot. It also reports the prompt tokens
// that were prefilled although the attempt delivered no token and no other one takes over the
// result.
func (d *driver) endAttempt() {
	d.endCall()
	d.heldLimits.returnAll()
	d.removeFromPausable()
	d.unpauseDraft()
	if d.attemptDone != nil {
		callOnce(&d.attemptDone)
		d.reportReleased()
		d.r.waiters.wake(d.slotPool)
	}
	if d.undeliveredPrefill > 0 && d.m.reoffered == nil {
		d.r.o.Metrics.WastedPrefill(d.undeliveredPrefill)
		d.undeliveredPrefill = 0
	}
}

func (d *driver) endRequest() {
	d.endStalled()
	d.endAttempt()
	d.leaveQueue()
	d.ticket.Leave()
	callOnce(&d.teamDone)
}

// callOnce calls *done and clears it; it does nothing if *done is nil.
func callOnce(done *func()) {
	if *done != nil {
		(*done)()
		*done = nil
	}
}
