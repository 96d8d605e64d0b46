package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// Durations in the model. The step "long" lets more than a key's lifetime pass, the
// step "short" more than a grant's duration.
const (
	modelLifetime = 100 * time.Second
	modelMargin   = 5 * time.Second
	modelGrantTTL = 10 * time.Second
)

// modelState is one state of the model: real Machines, one key, the log, and all
// append requests on their way to the log, which may take arbitrarily long. A
// frozen daemon is modelled as one that takes no steps.
type modelState struct {
	daemons      []*modelDaemon
	attempts     []modelAttempt
	log          []infraapi.Record // by offset
	trimmedBelow int               // offsets below this are trimmed
	messages     []modelMessage    // append requests
	now          time.Duration     // since modelStart
	faultsLeft   faults
	// steps counts the steps taken so far; it orders arrivals, answers and
	// dispatches.
	steps      int
	dispatches []modelEvent // dispatches of attempts
	notRun     []modelEvent // answers "not run"
	err        string       // the first violation found; empty if none
}

// faults gives how often each fault may still occur. lifetimeTicks and grantTicks
// let more than a key's lifetime or a grant's duration pass. timeouts are claims
// that are not decided in time.
type faults struct{ lostReplies, duplicates, kills, lifetimeTicks, grantTicks, trims, refusals, timeouts int }

// modelDaemon is a daemon with its Machine.
type modelDaemon struct {
	m           *Machine
	follows     bool
	incarnation int
	inFlight    int // index of its append request without a reply yet, or -1
}

// modelAttempt is one request with the key, sent to one daemon.
type modelAttempt struct {
	daemon      int
	body        byte
	incarnation int
	// phase is '.' before the request arrives, 'w' while its claim waits for a
	// decision, 'g' once the claim is granted, 'd' once the request is dispatched to
	// the upstream, and 'x' once the attempt has ended.
	phase       byte
	seq         uint64
	arrived     int           // value of modelState.steps at its arrival
	deadline    time.Duration // the latest time of its dispatch
	offset      int           // offset of its claim's record, or -1
	homeView    *KeyState     // a home's reply that is yet to be delivered
	homeThrough uint64        // the home had read every record below this offset
}

// modelMessage is an append request to the log.
type modelMessage struct {
	daemon, incarnation int
	data                []byte
	offset              int // where the log appended it first, or -1
}

// modelEvent is the dispatch of an attempt, or the answer "not run" to an attempt.
type modelEvent struct {
	at   time.Duration
	step int // value of modelState.steps
	by   int // index of the attempt
	body byte
}

var modelStart = time.Unix(1_000_000, 0) // clock time at the start of the model

// time returns the current time in the model.
func (w *modelState) time() time.Time { return modelStart.Add(w.now) }

// newModelMachine returns the Machine of a new incarnation of a daemon.
func newModelMachine(daemon, incarnation int, follows bool, now time.Time) *Machine {
	m := newMachine(machineConfig{
		Index:    IndexConfig{Lifetime: modelLifetime, Margin: modelMargin, MaxKeys: 10},
		GrantTTL: modelGrantTTL, StaleAfter: modelLifetime, MaxWaiting: 10, MaxBatchClaims: 10, MaxBatchAnswerBytes: 1, MaxResults: 10,
		MarkerInterval: 1e6 * time.Second,
	}, wire.NodeID{Instance: fmt.Sprint(daemon), Incarnation: uint64(incarnation)},
		func(wire.NodeID) bool { return false }, now)
	m.Follow(follows)
	return m
}

var modelKey = NewKey("team", "key") // the only key in the model

// step is a transition of the model; index selects the attempt, daemon or append
// request that it concerns.
//
// Steps of an attempt: "arrive", "give up" (its claim times out), "ask" (a home is
// asked), "tell" (the home's reply is delivered), "dispatch", "refuse" (it is
// granted but not dispatched) and "ran" (the upstream answered). Steps of a daemon:
// "send" (it sends an append request), "reply" (it gets the reply), "fail" (the
// reply is lost), "read" and "kill" (it restarts). Other steps: "take" (the log
// appends a request), "long" and "short" (more than a lifetime or a grant's
// duration passes) and "trim".
type step struct {
	name  string
	index int
}

// possibleSteps returns the steps that can come next. It returns none once every
// attempt has been answered or dispatched, because no check can fail from there on.
func (w *modelState) possibleSteps() (out []step) {
	if !slices.ContainsFunc(w.attempts, w.isOpen) {
		return nil
	}
	for i := range w.attempts {
		out = append(out, w.attemptSteps(i)...)
	}
	for i := range w.daemons {
		out = append(out, w.daemonSteps(i)...)
	}
	for i := range w.messages {
		out = appendIf(out, w.messages[i].offset < 0 || w.faultsLeft.duplicates > 0, "take", i)
	}
	out = appendIf(out, w.faultsLeft.lifetimeTicks > 0, "long", 0)
	out = appendIf(out, w.faultsLeft.grantTicks > 0, "short", 0)
	return appendIf(out, w.faultsLeft.trims > 0 && w.trimmedBelow < len(w.log), "trim", 0)
}

// appendIf appends a step to out if it is possible.
func appendIf(out []step, possible bool, name string, i int) []step {
	if possible {
		out = append(out, step{name, i})
	}
	return out
}

// attemptSteps returns the steps that are possible for an attempt.
func (w *modelState) attemptSteps(i int) (out []step) {
	a := &w.attempts[i]
	d := w.daemons[a.daemon]
	if a.phase != '.' && a.incarnation != d.incarnation {
		return nil // its daemon has restarted
	}
	switch a.phase {
	case '.': // not arrived; attempts at the same daemon arrive in order
		return appendIf(out, i == 0 || w.attempts[i-1].phase != '.' || w.attempts[i-1].daemon != a.daemon, "arrive", i)
	case 'w': // waiting for a decision
		out = appendIf(out, w.faultsLeft.timeouts > 0, "give up", i)
		out = appendIf(out, a.homeView != nil, "tell", i)
		read := a.offset >= 0 && w.daemons[0].m.Next() > uint64(a.offset)
		return appendIf(out, a.homeView == nil && !d.follows && read, "ask", i)
	case 'g': // granted
		out = append(out, step{"dispatch", i})
		return appendIf(out, w.faultsLeft.refusals > 0, "refuse", i)
	case 'd': // dispatched
		return append(out, step{"ran", i})
	}
	return nil
}

// daemonSteps returns the steps that are possible for a daemon.
func (w *modelState) daemonSteps(i int) (out []step) {
	d := w.daemons[i]
	if d.inFlight >= 0 && w.faultsLeft.lostReplies > 0 {
		out = append(out, step{"fail", i})
		out = appendIf(out, w.messages[d.inFlight].offset >= 0, "reply", i)
	}
	out = appendIf(out, d.follows && int(d.m.Next()) < len(w.log) && w.readMatters(i), "read", i)
	return appendIf(out, w.faultsLeft.kills > 0, "kill", i)
}

// isOpen reports whether an attempt may still be answered or dispatched: it has not
// arrived, or is waiting or granted at a daemon that has not restarted since.
func (w *modelState) isOpen(a modelAttempt) bool {
	return a.phase == '.' || a.phase != 'x' && a.phase != 'd' && a.incarnation == w.daemons[a.daemon].incarnation
}

// readMatters reports whether the records that a daemon reads can still decide an
// attempt, either its own or one of a daemon that asks it as the home.
func (w *modelState) readMatters(i int) bool {
	return slices.ContainsFunc(w.attempts, func(a modelAttempt) bool {
		asks := !w.daemons[a.daemon].follows && i == 0
		return w.isOpen(a) && (a.daemon == i || asks) && (a.phase == '.' || a.phase == 'w')
	})
}

// runImmediateSteps takes the steps that the search need not try at later times. A
// batch that is due is sent at once, since its append request may still take
// arbitrarily long to reach the log. A reply is delivered at once if no more replies
// may be lost.
func (w *modelState) runImmediateSteps() {
	for i, d := range w.daemons {
		for {
			if d.inFlight >= 0 && w.faultsLeft.lostReplies == 0 && w.messages[d.inFlight].offset >= 0 {
				w.stepDaemon("reply", i)
			}
			at, ok := d.m.Due()
			if !ok || w.time().Before(at) {
				break
			}
			w.stepDaemon("send", i)
		}
	}
}

// apply takes a step and then those of runImmediateSteps.
func (w *modelState) apply(s step) {
	w.steps++
	defer w.runImmediateSteps()
	switch s.name {
	case "arrive", "give up", "tell", "ask", "dispatch", "refuse", "ran":
		w.stepAttempt(s.name, s.index)
	case "send", "reply", "fail", "read", "kill":
		w.stepDaemon(s.name, s.index)
	case "take":
		w.appendMessage(s.index)
	case "long":
		w.faultsLeft.lifetimeTicks--
		w.now += modelLifetime + 2*modelMargin
	case "short":
		w.faultsLeft.grantTicks--
		w.now += modelGrantTTL + time.Second
	case "trim":
		w.faultsLeft.trims--
		w.trimmedBelow = len(w.log)
	}
}

// stepAttempt takes a step of an attempt.
func (w *modelState) stepAttempt(name string, i int) {
	a := &w.attempts[i]
	d := w.daemons[a.daemon]
	switch name {
	case "arrive":
		a.arrived, a.incarnation, a.offset = w.steps, d.incarnation, -1
		seq, dec, decided := d.m.Claim(w.time(), modelKey, BodyDigest{a.body}, "")
		a.seq, a.phase, a.deadline = seq, 'w', w.now+modelGrantTTL
		if decided {
			w.recordAnswer(i, dec)
		}
	case "give up":
		w.faultsLeft.timeouts--
		d.m.Cancel(w.time(), a.seq)
		w.recordAnswer(i, claimTimedOut())
	case "ask":
		v := w.daemons[0].m.Lookup(modelKey)
		a.homeView, a.homeThrough = &v, w.daemons[0].m.Next()
	case "tell":
		if dec, ok := d.m.ResolveFromHome(w.time(), a.seq, *a.homeView, a.homeThrough); ok {
			w.recordAnswer(i, dec)
		}
	case "dispatch":
		if w.now > a.deadline {
			w.endUndispatched(i)
			return
		}
		a.phase = 'd'
		w.recordDispatch(i)
	case "refuse":
		w.faultsLeft.refusals--
		w.endUndispatched(i)
	case "ran":
		a.phase = 'x'
		d.m.Finish(w.time(), a.seq, request.Outcome{Run: errkind.Ran})
	}
}

// endUndispatched ends a granted attempt that was not dispatched. After its
// deadline another attempt may hold the key, so its caller is told "unknown"
// instead of "not run".
func (w *modelState) endUndispatched(i int) {
	a := &w.attempts[i]
	w.daemons[a.daemon].m.Finish(w.time(), a.seq, request.Outcome{Run: errkind.NotRun})
	run := errkind.NotRun
	if w.now > a.deadline {
		run = errkind.Unknown
	}
	w.recordAnswer(i, Decision{Err: errkind.New(errkind.Overloaded, "").WithRun(run)})
}

// recordDispatch records a dispatch. It checks that there was no other one within a
// lifetime minus a grant's duration, and that no attempt which arrived before a
// "not run" answer with the same body is dispatched after it.
func (w *modelState) recordDispatch(i int) {
	for _, d := range w.dispatches {
		if w.now-d.at <= modelLifetime-modelGrantTTL {
			w.err = fmt.Sprintf("attempts %d and %d both ran", d.by, i)
		}
	}
	for _, n := range w.notRun {
		if n.body == w.attempts[i].body && w.attempts[i].arrived < n.step {
			w.err = fmt.Sprintf("attempt %d ran after its caller was told \"not run\"", i)
		}
	}
	w.dispatches = append(w.dispatches, modelEvent{w.now, w.steps, i, w.attempts[i].body})
}

// recordAnswer records the decision on an attempt. It checks that callers are told
// "not run" and "ran" only when this is true.
func (w *modelState) recordAnswer(i int, dec Decision) {
	a := &w.attempts[i]
	if dec.Run {
		a.phase = 'g'
		return
	}
	a.phase = 'x'
	recent := slices.ContainsFunc(w.dispatches, func(d modelEvent) bool {
		return d.body == a.body && w.now-d.at <= modelLifetime
	})
	switch errkind.Answer(dec.Err).Run {
	case errkind.NotRun:
		w.notRun = append(w.notRun, modelEvent{w.now, w.steps, i, a.body})
		if recent {
			w.err = fmt.Sprintf("attempt %d was told \"not run\" after a run: %v", i, dec.Err)
		}
	case errkind.Ran:
		if len(w.dispatches) == 0 {
			w.err = fmt.Sprintf("attempt %d was told \"ran\" before any run", i)
		}
	}
}

// stepDaemon takes a step of a daemon.
func (w *modelState) stepDaemon(name string, i int) {
	d := w.daemons[i]
	switch name {
	case "send":
		b := d.m.NextBatch(w.time())
		data, err := b.Encode()
		if err != nil {
			panic(err)
		}
		d.inFlight = len(w.messages)
		w.messages = append(w.messages, modelMessage{i, d.incarnation, data, -1})
	case "reply":
		offset := w.messages[d.inFlight].offset
		d.inFlight = -1
		for _, seq := range d.m.AppendSucceeded() {
			for k := range w.attempts {
				if a := &w.attempts[k]; a.daemon == i && a.incarnation == d.incarnation && a.seq == seq {
					a.offset = offset
				}
			}
		}
	case "fail":
		w.faultsLeft.lostReplies--
		d.inFlight = -1
		d.m.AppendFailed(w.time().Add(-appendBackoffMax))
	case "read":
		w.deliverRead(i)
	case "kill":
		w.faultsLeft.kills--
		d.incarnation++
		d.inFlight = -1
		d.m = newModelMachine(i, d.incarnation, d.follows, w.time())
	}
}

// deliverRead delivers the next record to a daemon, and the resulting decisions to
// the attempts.
func (w *modelState) deliverRead(i int) {
	d := w.daemons[i]
	reply := infraapi.ReadReply{First: uint64(w.trimmedBelow), Next: uint64(len(w.log))}
	if from := int(d.m.Next()); from >= w.trimmedBelow {
		reply.Records = w.log[from : from+1]
	}
	for _, r := range d.m.ApplyRead(w.time(), reply) {
		for k := range w.attempts {
			a := &w.attempts[k]
			if a.daemon == i && a.incarnation == d.incarnation && a.phase == 'w' && a.seq == r.Seq {
				w.recordAnswer(k, r.Decision)
			}
		}
	}
}

// appendMessage appends the data of an append request to the log.
func (w *modelState) appendMessage(i int) {
	msg := &w.messages[i]
	if msg.offset >= 0 {
		w.faultsLeft.duplicates--
	} else {
		msg.offset = len(w.log)
	}
	w.log = append(w.log, infraapi.Record{Offset: uint64(len(w.log)), Data: msg.data, TimeMS: w.time().UnixMilli()})
}
