package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// Cursor says how much of the table a peer has been told. The zero Cursor is a
// peer that was told nothing.
type Cursor uint64

// Round is one round of heartbeats, one to each neighbour.
type Round struct {
	table *Table
	hb    wire.Heartbeat
	fresh wire.Freshness
}

// Beat starts the next round; call it every Heartbeat.
func (t *Table) Beat(now time.Time) Round {
	r := t.Greet()
	t.rounds++
	if t.rounds%uint64(t.cfg.RelayEvery) == 0 {
		r.fresh = t.relay(now)
	}
	return r
}

// Greet starts a round for a single peer, out of turn: on a new connection, or
// to answer an Ask.
func (t *Table) Greet() Round {
	t.seq++
	return Round{table: t, hb: wire.Heartbeat{
		Node:       t.cfg.Node,
		DataCentre: t.cfg.DataCentre,
		Address:    t.cfg.Address,
		Seq:        t.seq,
		Draining:   t.draining,
		Ask:        !t.frozenAt.IsZero(),
	}}
}

// To returns the round's heartbeat to one peer, with the daemons that the peer
// has not been told of, and the cursor to pass in the next round. Use the new
// cursor only if the heartbeat was sent.
func (r Round) To(dataCentre string, told Cursor) (wire.Heartbeat, Cursor) {
	hb := r.hb
	if dataCentre == r.table.cfg.DataCentre {
		hb.Fresh = r.fresh
	}
	hb.Known, told = r.table.news(told)
	return hb, told
}

// news returns live daemons that changed after told, oldest change first.
func (t *Table) news(told Cursor) ([]wire.Known, Cursor) {
	if uint64(told) >= t.version {
		return nil, told
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.version > uint64(told) && e.Liveness != Dead {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	if len(changed) <= t.cfg.KnownPerBeat {
		return known(changed), Cursor(t.version)
	}
	changed = changed[:t.cfg.KnownPerBeat]
	return known(changed), Cursor(changed[len(changed)-1].version)
}

func known(entries []*entry) []wire.Known {
	out := make([]wire.Known, len(entries))
	for i, e := range entries {
		out[i] = wire.Known{Node: e.Node, DataCentre: e.DataCentre, Address: e.Address}
	}
	return out
}

// relay lists the far daemons that this one hears itself and is to tell its own
// data centre of: those it is the first contact of, and those that nobody else
// relayed for two periods because their first contact cannot hear them.
func (t *Table) relay(now time.Time) wire.Freshness {
	period := time.Duration(t.cfg.RelayEvery) * t.cfg.Heartbeat
	self := newMember(t.cfg.Node, t.cfg.DataCentre, t.cfg.Address)
	own := t.view.LiveIn(t.cfg.DataCentre)
	var f wire.Freshness
	for _, e := range t.entries {
		if e.DataCentre == t.cfg.DataCentre || now.Sub(e.direct) >= period {
			continue
		}
		if among(e.hash, own, self, 1) || now.Sub(e.relayed) > 2*period {
			f = f.Append(e.Node.Short(), e.seq)
		}
	}
	return f
}

// hearRelay takes the progress of far daemons from a peer of the own data
// centre. The low 16 bits are compared as serial numbers: half their range is
// over two hours of heartbeats. Two daemons with one ShortID would share a
// place here, and the one not kept would seem dead in data centres where only
// relays tell of it.
func (t *Table) hearRelay(now time.Time, f wire.Freshness) {
	for id, low := range f.All() {
		e := t.short[id]
		if e == nil || e.DataCentre == t.cfg.DataCentre {
			continue
		}
		e.relayed = now
		if e.seq == 0 {
			t.freshen(now, e, uint64(low))
			continue
		}
		if ahead := int16(low - uint16(e.seq)); ahead > 0 {
			t.freshen(now, e, e.seq+uint64(ahead))
		}
	}
}
