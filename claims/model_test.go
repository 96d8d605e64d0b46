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

// The model's times. One tick passes a grant's time, or a key's lifetime.
const (
	modelLifetime = 100 * time.Second
	modelMargin   = 5 * time.Second
	modelTTL      = 10 * time.Second
)

// world is one state of the model: real Machines, one key, the log, and all
// appends that are on their way to it, for ever late if need be. A daemon that
// takes no step is a frozen one.
type world struct {
	daemons  []*modelDaemon
	attempts []modelAttempt
	log      []infraapi.Record // by offset
	first    int               // records below are trimmed
	messages []modelMessage
	now      time.Duration
	left     faults
	// steps counts the steps so far; it orders arrivals, answers and dispatches.
	steps      int
	dispatches []modelEvent
	notRun     []modelEvent
	err        string
}

// faults is how many of each fault may still happen. Long and short are ticks
// past a lifetime and past a grant's time; late is a claim not decided in time.
type faults struct{ lost, twice, kills, long, short, trims, refusals, late int }

type modelDaemon struct {
	m           *Machine
	follows     bool
	incarnation int
	sending     int // its message in flight, or -1
}

type modelAttempt struct {
	daemon      int
	body        byte
	incarnation int
	phase       byte // '.' to come, 'w' waiting, 'g' granted, 'd' dispatched, 'x' over
	seq         uint64
	arrived     int
	deadline    time.Duration
	offset      int   // where its claim was appended, or -1
	told        *View // a home's answer on its way
	through     uint64
}

type modelMessage struct {
	daemon, incarnation int
	data                []byte
	offset              int // where the log took it first, or -1
}

// modelEvent is a dispatch, or a "not run" said, of an attempt.
type modelEvent struct {
	at   time.Duration
	step int
	by   int
	body byte
}

var modelStart = time.Unix(1_000_000, 0)

func (w *world) time() time.Time { return modelStart.Add(w.now) }

func newModelMachine(daemon, incarnation int, follows bool, now time.Time) *Machine {
	m := newMachine(machineConfig{
		Index:    IndexConfig{Lifetime: modelLifetime, Margin: modelMargin, MaxKeys: 10},
		GrantTTL: modelTTL, Stale: modelLifetime, MaxWaiting: 10, MaxBatch: 10, MaxBatchBytes: 1, MaxResults: 10,
		MarkEvery: 1e6 * time.Second,
	}, wire.NodeID{Instance: fmt.Sprint(daemon), Incarnation: uint64(incarnation)},
		func(wire.NodeID) bool { return false }, now)
	m.Follow(follows)
	return m
}

var modelKey = NewKey("team", "key")

// step names one thing that may happen next.
type step struct {
	what string
	i    int
}

// next returns the steps that are possible. There are none once nobody waits
// for an answer any more: nothing can be broken then.
func (w *world) next() (out []step) {
	if !slices.ContainsFunc(w.attempts, w.open) {
		return nil
	}
	for i := range w.attempts {
		out = append(out, w.attemptSteps(i)...)
	}
	for i := range w.daemons {
		out = append(out, w.daemonSteps(i)...)
	}
	for i := range w.messages {
		out = when(out, w.messages[i].offset < 0 || w.left.twice > 0, "take", i)
	}
	out = when(out, w.left.long > 0, "long", 0)
	out = when(out, w.left.short > 0, "short", 0)
	return when(out, w.left.trims > 0 && w.first < len(w.log), "trim", 0)
}

func when(out []step, possible bool, what string, i int) []step {
	if possible {
		out = append(out, step{what, i})
	}
	return out
}

func (w *world) attemptSteps(i int) (out []step) {
	a := &w.attempts[i]
	d := w.daemons[a.daemon]
	if a.phase != '.' && a.incarnation != d.incarnation {
		return nil // died with its daemon
	}
	switch a.phase {
	case '.': // equal attempts arrive in order
		return when(out, i == 0 || w.attempts[i-1].phase != '.' || w.attempts[i-1].daemon != a.daemon, "arrive", i)
	case 'w':
		out = when(out, w.left.late > 0, "give up", i)
		out = when(out, a.told != nil, "tell", i)
		read := a.offset >= 0 && w.daemons[0].m.Next() > uint64(a.offset)
		return when(out, a.told == nil && !d.follows && read, "ask", i)
	case 'g':
		out = append(out, step{"dispatch", i})
		return when(out, w.left.refusals > 0, "refuse", i)
	case 'd':
		return append(out, step{"ran", i})
	}
	return nil
}

func (w *world) daemonSteps(i int) (out []step) {
	d := w.daemons[i]
	if d.sending >= 0 && w.left.lost > 0 {
		out = append(out, step{"fail", i})
		out = when(out, w.messages[d.sending].offset >= 0, "reply", i)
	}
	out = when(out, d.follows && int(d.m.Next()) < len(w.log) && w.reads(i), "read", i)
	return when(out, w.left.kills > 0, "kill", i)
}

// open says whether an attempt may still be answered or run.
func (w *world) open(a modelAttempt) bool {
	return a.phase == '.' || a.phase != 'x' && a.phase != 'd' && a.incarnation == w.daemons[a.daemon].incarnation
}

// reads says whether what a daemon reads can still decide anything.
func (w *world) reads(i int) bool {
	return slices.ContainsFunc(w.attempts, func(a modelAttempt) bool {
		asks := !w.daemons[a.daemon].follows && i == 0
		return w.open(a) && (a.daemon == i || asks) && (a.phase == '.' || a.phase == 'w')
	})
}

// settle does at once what can be done at once without hiding an order: a batch
// that is due is sent, for it may stay on its way as long as it likes, and a
// reply that cannot get lost comes.
func (w *world) settle() {
	for i, d := range w.daemons {
		for {
			if d.sending >= 0 && w.left.lost == 0 && w.messages[d.sending].offset >= 0 {
				w.daemon("reply", i)
			}
			at, ok := d.m.Due()
			if !ok || w.time().Before(at) {
				break
			}
			w.daemon("send", i)
		}
	}
}

func (w *world) do(s step) {
	w.steps++
	defer w.settle()
	switch s.what {
	case "arrive", "give up", "tell", "ask", "dispatch", "refuse", "ran":
		w.attempt(s.what, s.i)
	case "send", "reply", "fail", "read", "kill":
		w.daemon(s.what, s.i)
	case "take":
		w.take(s.i)
	case "long":
		w.left.long--
		w.now += modelLifetime + 2*modelMargin
	case "short":
		w.left.short--
		w.now += modelTTL + time.Second
	case "trim":
		w.left.trims--
		w.first = len(w.log)
	}
}

func (w *world) attempt(what string, i int) {
	a := &w.attempts[i]
	d := w.daemons[a.daemon]
	switch what {
	case "arrive":
		a.arrived, a.incarnation, a.offset = w.steps, d.incarnation, -1
		seq, dec, decided := d.m.Claim(w.time(), modelKey, Body{a.body}, "")
		a.seq, a.phase, a.deadline = seq, 'w', w.now+modelTTL
		if decided {
			w.answer(i, dec)
		}
	case "give up":
		w.left.late--
		d.m.Cancel(w.time(), a.seq)
		w.answer(i, gaveUp())
	case "ask":
		v := w.daemons[0].m.Lookup(modelKey)
		a.told, a.through = &v, w.daemons[0].m.Next()
	case "tell":
		if dec, ok := d.m.Told(w.time(), a.seq, *a.told, a.through); ok {
			w.answer(i, dec)
		}
	case "dispatch":
		if w.now > a.deadline {
			w.finish(i)
			return
		}
		a.phase = 'd'
		w.dispatched(i)
	case "refuse":
		w.left.refusals--
		w.finish(i)
	case "ran":
		a.phase = 'x'
		d.m.Finish(w.time(), a.seq, request.Outcome{Run: errkind.Ran})
	}
}

// finish ends a granted attempt that was not dispatched. Past its deadline the
// key may be somebody else's, so that its caller is not told "not run".
func (w *world) finish(i int) {
	a := &w.attempts[i]
	w.daemons[a.daemon].m.Finish(w.time(), a.seq, request.Outcome{Run: errkind.NotRun})
	run := errkind.NotRun
	if w.now > a.deadline {
		run = errkind.Unknown
	}
	w.answer(i, Decision{Err: errkind.New(errkind.Overloaded, "").WithRun(run)})
}

// dispatched checks that no other dispatch is within a lifetime, and that no
// attempt that is older than a "not run" runs.
func (w *world) dispatched(i int) {
	for _, d := range w.dispatches {
		if w.now-d.at <= modelLifetime-modelTTL {
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

// answer checks a caller's answer: "not run" and "ran" are said only when true.
func (w *world) answer(i int, dec Decision) {
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

func (w *world) daemon(what string, i int) {
	d := w.daemons[i]
	switch what {
	case "send":
		b := d.m.Batch(w.time())
		data, err := b.Encode()
		if err != nil {
			panic(err)
		}
		d.sending = len(w.messages)
		w.messages = append(w.messages, modelMessage{i, d.incarnation, data, -1})
	case "reply":
		offset := w.messages[d.sending].offset
		d.sending = -1
		for _, seq := range d.m.Appended() {
			for k := range w.attempts {
				if a := &w.attempts[k]; a.daemon == i && a.incarnation == d.incarnation && a.seq == seq {
					a.offset = offset
				}
			}
		}
	case "fail":
		w.left.lost--
		d.sending = -1
		d.m.AppendFailed(w.time().Add(-appendPauseMax))
	case "read":
		w.read(i)
	case "kill":
		w.left.kills--
		d.incarnation++
		d.sending = -1
		d.m = newModelMachine(i, d.incarnation, d.follows, w.time())
	}
}

func (w *world) read(i int) {
	d := w.daemons[i]
	reply := infraapi.ReadReply{First: uint64(w.first), Next: uint64(len(w.log))}
	if from := int(d.m.Next()); from >= w.first {
		reply.Records = w.log[from : from+1]
	}
	for _, r := range d.m.Read(w.time(), reply) {
		for k := range w.attempts {
			a := &w.attempts[k]
			if a.daemon == i && a.incarnation == d.incarnation && a.phase == 'w' && a.seq == r.Seq {
				w.answer(k, r.Decision)
			}
		}
	}
}

func (w *world) take(i int) {
	msg := &w.messages[i]
	if msg.offset >= 0 {
		w.left.twice--
	} else {
		msg.offset = len(w.log)
	}
	w.log = append(w.log, infraapi.Record{Offset: uint64(len(w.log)), Data: msg.data, TimeMS: w.time().UnixMilli()})
}
