package claims

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

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
