package claims

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/platform/platformapi"
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
	log      []platformapi.Record // by offset
	first    int                  // records below are trimmed
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
	m := NewMachine(MachineConfig{
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
		a := &w.attempts[i]
		d := w.daemons[a.daemon]
		if a.phase != '.' && a.incarnation != d.incarnation {
			continue // died with its daemon
		}
		switch a.phase {
		case '.':
			if i == 0 || w.attempts[i-1].phase != '.' || w.attempts[i-1].daemon != a.daemon {
				out = append(out, step{"arrive", i}) // equal attempts arrive in order
			}
		case 'w':
			if w.left.late > 0 {
				out = append(out, step{"give up", i})
			}
			if a.told != nil {
				out = append(out, step{"tell", i})
			} else if a.offset >= 0 && !d.follows && w.daemons[0].m.Next() > uint64(a.offset) {
				out = append(out, step{"ask", i})
			}
		case 'g':
			out = append(out, step{"dispatch", i})
			if w.left.refusals > 0 {
				out = append(out, step{"refuse", i})
			}
		case 'd':
			out = append(out, step{"ran", i})
		}
	}
	for i, d := range w.daemons {
		if d.sending >= 0 {
			if w.left.lost > 0 {
				out = append(out, step{"fail", i})
				if w.messages[d.sending].offset >= 0 {
					out = append(out, step{"reply", i})
				}
			}
		}
		if d.follows && int(d.m.Next()) < len(w.log) && w.reads(i) {
			out = append(out, step{"read", i})
		}
		if w.left.kills > 0 {
			out = append(out, step{"kill", i})
		}
	}
	for i := range w.messages {
		if w.messages[i].offset < 0 || w.left.twice > 0 {
			out = append(out, step{"take", i})
		}
	}
	if w.left.long > 0 {
		out = append(out, step{"long", 0})
	}
	if w.left.short > 0 {
		out = append(out, step{"short", 0})
	}
	if w.left.trims > 0 && w.first < len(w.log) {
		out = append(out, step{"trim", 0})
	}
	return out
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
	reply := platformapi.ReadReply{First: uint64(w.first), Next: uint64(len(w.log))}
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
	w.log = append(w.log, platformapi.Record{Offset: uint64(len(w.log)), Data: msg.data, TimeMS: w.time().UnixMilli()})
}

// name tells states apart. It holds all that later steps and checks depend on.
func (w *world) name() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v|%v|%d|", w.left, w.now, w.first)
	for i, d := range w.daemons {
		fmt.Fprintf(&b, "%d.%d.", d.incarnation, d.sending)
		nameMachine(&b, d.m, w.reads(i))
	}
	for i := range w.attempts {
		a := &w.attempts[i]
		if !w.open(*a) && a.phase != 'd' {
			b.WriteByte('x')
			continue
		}
		late := 0
		for _, n := range w.notRun {
			if n.body == a.body && a.arrived < n.step {
				late = 1
			}
		}
		fmt.Fprintf(&b, "%c%d,%d,%d,%v,%d,%d|", a.phase, a.seq, a.incarnation, a.offset, a.told, a.through, late)
	}
	for i := range w.messages {
		m := &w.messages[i]
		if m.offset >= 0 && w.left.twice == 0 && w.left.lost == 0 {
			continue // never needed again
		}
		fmt.Fprintf(&b, "%d.%d.%d.%s|", m.daemon, m.incarnation, m.offset, m.data)
	}
	for _, r := range w.log {
		fmt.Fprintf(&b, "%d.%s|", r.TimeMS, r.Data)
	}
	for _, d := range w.dispatches {
		fmt.Fprintf(&b, "%v.%d,", d.at, d.body)
	}
	return b.String()
}

func nameMachine(b *strings.Builder, m *Machine, reads bool) {
	fmt.Fprintf(b, "%d.%d|", m.seq, m.wait)
	if x := m.index; x != nil && reads {
		fmt.Fprintf(b, "%d.%d.%d.%d.%v", m.seen, x.next, x.clock, x.floor, x.gap)
		if e := x.entries[modelKey]; e != nil {
			fmt.Fprintf(b, ".%+v", *e)
		}
	}
	for seq := range m.seq {
		if o := m.own.bySeq[seq+1]; o != nil {
			fmt.Fprintf(b, "|%d.%d.%d.%v.%d.%v", seq, o.phase, o.status, o.sent, o.started.Unix(), m.own.byKey[modelKey] == o)
		}
	}
	nameBatch(b, m.out.claims, m.out.results)
	if f := m.out.inflight; f != nil {
		nameBatch(b, f.Claims, f.Results)
	}
}

func nameBatch(b *strings.Builder, claims []Claim, results []Result) {
	b.WriteByte('|')
	for i := range claims {
		fmt.Fprintf(b, "c%d", claims[i].ID.Seq)
	}
	for i := range results {
		fmt.Fprintf(b, "r%d.%d", results[i].ID.Seq, results[i].Status)
	}
}

func (w *world) clone() *world {
	c := *w
	c.daemons = nil
	for _, d := range w.daemons {
		e := *d
		e.m = cloneMachine(d.m)
		c.daemons = append(c.daemons, &e)
	}
	c.attempts = slices.Clone(w.attempts)
	c.messages = slices.Clone(w.messages)
	c.log = slices.Clip(w.log)
	c.dispatches = slices.Clip(w.dispatches)
	c.notRun = slices.Clip(w.notRun)
	return &c
}

func cloneMachine(m *Machine) *Machine {
	c := *m
	if m.index != nil {
		x := *m.index
		x.entries = maps.Clone(x.entries)
		for k, e := range x.entries {
			f := *e
			x.entries[k] = &f
		}
		x.expiry.items = slices.Clone(x.expiry.items)
		c.index = &x
	}
	l := newLedger(0)
	for i := m.own.order.head; i < len(m.own.order.items); i++ {
		o := m.own.order.items[i]
		p := *o
		l.order.push(&p)
		if m.own.bySeq[o.claim.ID.Seq] == o {
			l.bySeq[o.claim.ID.Seq] = &p
		}
		if m.own.byKey[o.claim.Key] == o {
			l.byKey[o.claim.Key] = &p
		}
	}
	c.own = l
	c.out.claims = slices.Clone(m.out.claims)
	c.out.results = slices.Clone(m.out.results)
	if m.out.inflight != nil {
		c.out.inflight = &Batch{Claims: slices.Clone(m.out.inflight.Claims), Results: slices.Clone(m.out.inflight.Results)}
	}
	return &c
}
