package request

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// dispatch starts one call. If the call must not be sent, or if the plan requires pausing a
// draft and none can be paused, the machine gets an event instead.
func (d *driver) dispatch(a Action) {
	d.endCall()
	if ev, ok := d.blocked(a); ok {
		d.logDecision(a.Step.String(), a.Target.Name, "not-sent")
		d.pendingEvents = append(d.pendingEvents, ev)
		return
	}
	if a.Step == StepReserve && a.Plan.PauseDraft && !d.pauseDraft(a) {
		d.logDecision(a.Step.String(), a.Target.Name, "no-draft-to-pause")
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventUpstreamLeaving, Call: a.Call})
		return
	}
	d.countInflight(a)
	d.leaveQueue()
	ctx, cancel := context.WithCancel(d.baseCtx)
	d.cancelCall = cancel
	d.showState()
	switch a.Step {
	case StepReserve:
		msg, pausedDraft := d.reserveRequest(a), d.pausedDraft
		d.calls.Go(func() { d.reserve(ctx, a, msg, pausedDraft) })
	case StepPrefill:
		msg := d.prefillRequest(a)
		d.heldLimits.prefill = nil
		ahead := d.aheadTokens
		d.callConfirmed(ctx, a, func(a Action) { d.prefill(ctx, a, msg, ahead) })
	case StepDecode:
		d.decodeSentAt = d.r.o.Now()
		msg := d.decodeRequest(a)
		d.heldLimits.decode = nil
		d.callConfirmed(ctx, a, func(a Action) { d.decode(ctx, a, msg) })
	default:
		d.calls.Go(func() { d.resume(ctx, a) })
	}
}

// callConfirmed makes a call in a goroutine of its own, after the origin of the stream is confirmed if
// the answer goes on at its version.
func (d *driver) callConfirmed(ctx context.Context, a Action, call func(a Action)) {
	a.GoesOn = d.m.version != ""
	origin := d.origin
	d.calls.Go(func() {
		if !a.GoesOn || d.confirmOrigin(ctx, a, origin) {
			call(a)
		}
	})
}

// blocked checks whether a call must not be sent and, if so, returns the event that the machine
// gets in its place. A process that was stopped (SIGSTOP, a paused virtual machine) continues
// with its next call as if no time had passed, with stale data: upstreams may have left, and
// the steward's sweep may have freed the engine memory of its requests. Options.Frozen
// detects this by a gap between heartbeats.
func (d *driver) blocked(a Action) (Event, bool) {
	now := d.r.o.Now()
	if d.r.o.Frozen(now) || grantExpired(d.notAfter, now) {
		return Event{Kind: EventStaleView, Call: a.Call}, true
	}
	if a.Step != StepResume && d.r.quarantined(d.c.ID, d.subject) {
		return Event{Kind: EventQuarantined, Call: a.Call}, true
	}
	if a.Step != StepResume && !d.r.mayTakeWork(replicaOf(a)) {
		return Event{Kind: EventUpstreamLeaving, Call: a.Call}, true
	}
	return Event{}, false
}

func replicaOf(a Action) policy.Replica {
	if a.Step == StepPrefill {
		return a.Plan.Prefill
	}
	return a.Plan.Decode
}

// countInflight adds the call's load to Inflight. The decode engine is counted from the
// attempt's first call to the attempt's end. The KV links of both engines are booked when
// the prefill starts.
func (d *driver) countInflight(a Action) {
	if d.attemptDone == nil {
		d.attemptDone = d.r.o.Inflight.Begin(a.Plan.Decode.Name, d.reservedTokens())
		d.slotPool = a.Plan.Decode.Pool
	}
	if a.Step == StepPrefill {
		d.callDone = d.r.o.Inflight.Begin(a.Target.Name, d.promptTokens())
		d.r.o.Inflight.Book(a.Plan.Prefill.Name, a.Plan.TransferAt, a.Plan.Transfer)
		d.r.o.Inflight.Book(a.Plan.Decode.Name, a.Plan.TransferAt, a.Plan.Transfer)
	}
}

func (d *driver) workID(a Action) engineapi.WorkID {
	return engineapi.WorkID{RequestID: d.c.ID, Attempt: a.Attempt}
}

func (d *driver) callMetadata(a Action) engineapi.CallMetadata {
	return engineapi.CallMetadata{Upstream: a.Target.Name, Deadline: d.c.Deadline, CallerRequest: d.c.Original}
}

// reserveRequest returns the request for a slot that stays reserved for the timeouts of the
// prefill and of the start of decoding together, within the limits of the request's deadline
// and of the pool. A shorter reservation would waste a prefill that is merely slow.
func (d *driver) reserveRequest(a Action) engineapi.ReserveRequest {
	l := d.m.limits
	hold := min(l.Prefill+a.Plan.FirstToken+l.Import, d.c.Deadline.Sub(d.r.o.Now()))
	if bound := d.maxReservationTime(a); bound > 0 {
		hold = min(hold, bound)
	}
	tokens, headroom := d.reservation()
	return engineapi.ReserveRequest{
		WorkID:   d.workID(a),
		Envelope: d.callMetadata(a),
		Tokens:   tokens,
		Headroom: headroom,
		Owner:    d.r.o.Owner,
		Model:    d.c.Model,
		Priority: a.Plan.Priority,
		KVBytes:  d.kvBytes(),
		HoldMS:   max(1, hold.Milliseconds()),
	}
}

// maxReservationTime returns the longest reservation time that the engine's pool accepts; 0
// means no limit.
func (d *driver) maxReservationTime(a Action) time.Duration {
	s := d.r.o.Snapshot()
	if s == nil || s.Bundle == nil {
		return 0
	}
	return time.Duration(s.Bundle.Pools[a.Plan.Decode.Pool].HoldMillis) * time.Millisecond
}

// kvBytes estimates the size of the prompt's KV cache from the model's bytes per token.
func (d *driver) kvBytes() int64 {
	s := d.r.o.Snapshot()
	if s == nil || s.Bundle == nil {
		return 0
	}
	return int64(d.promptTokens()) * s.Bundle.Models[d.c.Model].KVBytesPerToken
}

func (d *driver) prefillRequest(a Action) engineapi.PrefillRequest {
	return engineapi.PrefillRequest{
		WorkID:    d.workID(a),
		Envelope:  d.callMetadata(a),
		Owner:     d.r.o.Owner,
		Model:     d.c.Model,
		Adapter:   d.c.Adapter,
		Prompt:    d.c.Prompt,
		Priority:  a.Plan.Priority,
		Generated: d.m.Tokens(),
	}
}

func (d *driver) decodeRequest(a Action) engineapi.DecodeRequest {
	return engineapi.DecodeRequest{
		WorkID:      d.workID(a),
		Envelope:    d.callMetadata(a),
		Reservation: a.Reservation,
		Handle:      a.Handle,
		Owner:       d.r.o.Owner,
		Model:       d.c.Model,
		Adapter:     d.c.Adapter,
		Source:      a.Plan.Prefill.Address,
		MaxTokens:   d.c.MaxTokens,
		Priority:    a.Plan.Priority,
		FromIndex:   a.Index,
	}
}

func (d *driver) reserve(ctx context.Context, a Action, msg engineapi.ReserveRequest, pausedDraft *pausableDraft) {
	if pausedDraft != nil { // if the pause fails, the engine stays full and refuses the reservation
		_, _ = d.r.o.Engines.Pause(ctx, pausedDraft.target.Address, pausedDraft.work)
	}
	sentAt := d.r.o.Now()
	recordReply := func() {
		now := d.r.o.Now()
		d.r.RecordReservationReply(now, now.Sub(sentAt))
		sentAt = now
	}
	msg.OnReply = func() {
		recordReply()
		d.sendEvent(ctx, Event{Kind: EventReserving, Call: a.Call})
	}
	reply, err := d.r.o.Engines.Reserve(ctx, a.Target.Address, msg)
	if upstream.HasReply(err) {
		recordReply()
	}
	if err != nil {
		d.sendCallFailed(ctx, a, time.Time{}, err)
		return
	}
	d.r.reportLoad(a.Target.Name, &reply.Load)
	d.r.o.Observer.Answered(d.r.o.Now(), a.Target.Name)
	d.sendEvent(ctx, Event{Kind: EventReserved, Call: a.Call, Reservation: reply.Reservation})
}

// showState publishes the machine's state for administrators if it has changed.
func (d *driver) showState() {
	state := d.m.State()
	if d.shownState == state {
		return
	}
	d.shownState = state
	d.r.updateEntry(func() { d.entry.State = state.String() })
}

func (d *driver) prefill(ctx context.Context, a Action, msg engineapi.PrefillRequest, ahead int) {
	began := d.r.o.Now()
	reply, err := d.r.o.Engines.Prefill(ctx, a.Target.Address, msg)
	if err == nil {
		err = d.confirmTarget(ctx, a)
	}
	if err != nil {
		d.sendCallFailed(ctx, a, began, err)
		return
	}
	now := d.r.o.Now()
	d.r.reportLoad(a.Target.Name, &reply.Load)
	d.r.RecordPrefill(now, d.c.Model, false)
	d.r.o.Observer.Prefilled(now, a.Target.Name, PrefillObservation{
		PromptTokens: reply.PromptTokens,
		CachedTokens: reply.CachedTokens,
		AheadTokens:  ahead,
		Took:         now.Sub(began),
		Prefix:       d.prefix,
	})
	d.sendEvent(ctx, Event{Kind: EventPrefilled, Call: a.Call, Prefill: &reply})
}

func (d *driver) decode(ctx context.Context, a Action, msg engineapi.DecodeRequest) {
	sent := d.r.o.Now()
	stream, err := d.r.o.Engines.Decode(ctx, a.Target.Address, msg)
	if err == nil {
		if err = d.confirmTarget(ctx, a); err != nil {
			_ = stream.Close() // the engine ends the run
		}
	}
	d.relayStream(ctx, a, sent, stream, err)
}

func (d *driver) resume(ctx context.Context, a Action) {
	sent := d.r.o.Now()
	stream, err := d.r.o.Engines.Stream(ctx, a.Target.Address, d.workID(a), a.Index)
	d.relayStream(ctx, a, sent, stream, err)
}

// relayStream sends a stream's chunks to the driver until the stream ends.
func (d *driver) relayStream(ctx context.Context, a Action, sent time.Time, stream upstream.ChunkStream, err error) {
	if err != nil {
		d.sendCallFailed(ctx, a, sent, err)
		return
	}
	defer stream.Close()
	d.sendEvent(ctx, Event{Kind: EventOpened, Call: a.Call, Head: stream.Head()})
	ev := Event{Kind: EventChunk, Call: a.Call}
	for answering, sawDone := false, false; ; answering = true {
		if err := stream.Next(&ev.Chunk); err != nil {
			if !sawDone && mayHaveCrashed(ctx, a.Step, err) {
				d.reportLostRun(a, sent, answering)
			}
			d.sendEvent(ctx, Event{Kind: EventStreamEnded, Call: a.Call})
			return
		}
		sawDone = ev.Chunk.Done
		if ev.Chunk.Load != nil {
			d.r.reportLoad(a.Target.Name, ev.Chunk.Load)
		}
		if !d.sendEvent(ctx, ev) {
			return
		}
	}
}

// sendCallFailed reports the failure of a call that was sent at the given time.
func (d *driver) sendCallFailed(ctx context.Context, a Action, sent time.Time, err error) {
	d.r.recordFailedSend(failedSend{d.c.ID, d.c.Class, a.Attempt, a.Step, a.Target.Name, err})
	withheld := upstream.IsWithheld(err)
	if withheld && a.Step != StepResume {
		d.sendEvent(ctx, Event{Kind: EventUpstreamLeaving, Call: a.Call})
		return
	}
	if mayHaveCrashed(ctx, a.Step, err) {
		d.reportLostRun(a, sent, false)
	}
	d.r.reportRefusal(a.Target.Name, err)
	d.sendEvent(ctx, Event{
		Kind: EventCallFailed, Call: a.Call,
		Delivery: upstream.DeliveryOf(err), Refusal: upstream.RefusalOf(err), Answer: ownAnswer(err),
		Reached: upstream.HostResponded(err), Withheld: withheld,
	})
}

// ownAnswer returns the upstream's own answer that err carries, or nil.
func ownAnswer(err error) *CallAnswer {
	a := upstream.ResponseOf(err)
	if a == nil {
		return nil
	}
	return &CallAnswer{Status: a.Status, Header: a.Header, Body: a.Body}
}

// sendEvent passes ev to the driver; it returns false if the call was cancelled first.
func (d *driver) sendEvent(ctx context.Context, ev Event) bool {
	select {
	case d.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}
