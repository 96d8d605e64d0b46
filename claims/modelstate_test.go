package claims

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// fingerprint returns a string that is equal for equal states. It contains
// everything that later steps and checks depend on.
func (w *modelState) fingerprint() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v|%v|%d|", w.faultsLeft, w.now, w.trimmedBelow)
	for i, d := range w.daemons {
		fmt.Fprintf(&b, "%d.%d.", d.incarnation, d.inFlight)
		writeMachine(&b, d.m, w.readMatters(i))
	}
	for i := range w.attempts {
		a := &w.attempts[i]
		if !w.isOpen(*a) && a.phase != 'd' {
			b.WriteByte('x') // ended, or its daemon has restarted
			continue
		}
		late := 0
		for _, n := range w.notRun {
			if n.body == a.body && a.arrived < n.step {
				late = 1
			}
		}
		fmt.Fprintf(&b, "%c%d,%d,%d,%v,%d,%d|", a.phase, a.seq, a.incarnation, a.offset, a.homeView, a.homeThrough, late)
	}
	for i := range w.messages {
		m := &w.messages[i]
		if m.offset >= 0 && w.faultsLeft.duplicates == 0 && w.faultsLeft.lostReplies == 0 {
			continue // no later step depends on this message
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

// writeMachine writes the state of a Machine. The index is left out if nothing
// depends on what the daemon reads.
func writeMachine(b *strings.Builder, m *Machine, reads bool) {
	fmt.Fprintf(b, "%d.%d|", m.seq, m.waitingCount)
	if x := m.index; x != nil && reads {
		fmt.Fprintf(b, "%d.%d.%d.%d.%v", m.seenOffset, x.next, x.logTime, x.missingUntil, x.gapBefore)
		if e := x.entries[modelKey]; e != nil {
			fmt.Fprintf(b, ".%+v", *e)
		}
	}
	for seq := range m.seq {
		if o := m.claims.bySeq[seq+1]; o != nil {
			fmt.Fprintf(b, "|%d.%d.%d.%v.%d.%v", seq, o.phase, o.status, o.maybeLogged, o.started.Unix(), m.claims.byKey[modelKey] == o)
		}
	}
	writeBatch(b, m.outbox.claims, m.outbox.results)
	if f := m.outbox.inflight; f != nil {
		writeBatch(b, f.Claims, f.Results)
	}
}

// writeBatch writes the claims and results of a batch.
func writeBatch(b *strings.Builder, claims []Claim, results []Result) {
	b.WriteByte('|')
	for i := range claims {
		fmt.Fprintf(b, "c%d", claims[i].ID.Seq)
	}
	for i := range results {
		fmt.Fprintf(b, "r%d.%d", results[i].ID.Seq, results[i].Status)
	}
}

// clone returns a copy of the state that can be changed independently.
func (w *modelState) clone() *modelState {
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

// cloneMachine returns a copy of a Machine. The queue of its cached answers, which
// the model does not use, is not copied.
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
	l := newClaimTable(0)
	for i := m.claims.order.head; i < len(m.claims.order.items); i++ {
		o := m.claims.order.items[i]
		p := *o
		l.order.push(&p)
		if m.claims.bySeq[o.claim.ID.Seq] == o {
			l.bySeq[o.claim.ID.Seq] = &p
		}
		if m.claims.byKey[o.claim.Key] == o {
			l.byKey[o.claim.Key] = &p
		}
	}
	c.claims = l
	c.outbox.claims = slices.Clone(m.outbox.claims)
	c.outbox.results = slices.Clone(m.outbox.results)
	if m.outbox.inflight != nil {
		c.outbox.inflight = &Batch{Claims: slices.Clone(m.outbox.inflight.Claims), Results: slices.Clone(m.outbox.inflight.Results)}
	}
	return &c
}
