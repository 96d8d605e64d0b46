package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// Cursor is the table version up to which a peer has been sent all changes. Zero
// means that the peer has been sent nothing.
type Cursor uint64

// Round holds the contents that the heartbeats of one round share. A round has
// one heartbeat for each neighbour.
type Round struct {
	table   *Table
	hb      wire.Heartbeat
	relayed wire.RelayedSeqs
}

// NextRound starts the next periodic round. Call it once per Config.Heartbeat.
func (t *Table) NextRound(now time.Time) Round {
	r := t.SinglePeerRound()
	t.rounds++
	if t.rounds%uint64(t.cfg.RelayEvery) == 0 {
		r.relayed = t.relayedProgress(now)
	}
	return r
}

// SinglePeerRound starts an extra round for a single peer, outside the period: on a new
// connection, or to reply to a heartbeat that has RequestEcho set.
func (t *Table) SinglePeerRound() Round {
	t.seq++
	return Round{table: t, hb: wire.Heartbeat{
		Node:        t.cfg.Node,
		DataCentre:  t.cfg.DataCentre,
		Address:     t.cfg.Address,
		Seq:         t.seq,
		Draining:    t.draining,
		RequestEcho: !t.frozenAt.IsZero(),
	}}
}

// HeartbeatFor returns the heartbeat of this round for one peer of the given data centre.
// It lists daemons that changed after cursor, the position returned for this
// peer in an earlier round. The caller passes the returned cursor in the next
// round, or the old one again if the heartbeat was not sent.
func (r Round) HeartbeatFor(dataCentre string, cursor Cursor) (wire.Heartbeat, Cursor) {
	hb := r.hb
	if dataCentre == r.table.cfg.DataCentre {
		hb.RelayedSeqs = r.relayed
	}
	hb.Known, cursor = r.table.updatesAfter(cursor)
	return hb, cursor
}

// updatesAfter returns up to MaxKnownPerHeartbeat live daemons that changed after cursor,
// in the order of their changes, and the cursor after the last of them.
func (t *Table) updatesAfter(cursor Cursor) ([]wire.KnownDaemon, Cursor) {
	if uint64(cursor) >= t.version {
		return nil, cursor
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.changeVersion > uint64(cursor) && e.Liveness != Dead {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changeVersion, b.changeVersion) })
	if len(changed) <= t.cfg.MaxKnownPerHeartbeat {
		return toKnown(changed), Cursor(t.version)
	}
	changed = changed[:t.cfg.MaxKnownPerHeartbeat]
	return toKnown(changed), Cursor(changed[len(changed)-1].changeVersion)
}

// toKnown converts table entries to the list sent in a heartbeat.
func toKnown(entries []*entry) []wire.KnownDaemon {
	out := make([]wire.KnownDaemon, len(entries))
	for i, e := range entries {
		out[i] = wire.KnownDaemon{Node: e.Node, DataCentre: e.DataCentre, Address: e.Address}
	}
	return out
}

// relayedProgress returns the sequence numbers that this daemon relays to its own
// data centre. They are those of remote daemons from which it received a heartbeat
// directly within the last relay period and which have it as their first contact
// (ranked first by rendezvous hashing). For a remote daemon that no other daemon
// relayed for two periods, any daemon that receives its heartbeats takes over:
// the first contact may have lost the connection.
func (t *Table) relayedProgress(now time.Time) wire.RelayedSeqs {
	period := time.Duration(t.cfg.RelayEvery) * t.cfg.Heartbeat
	self := newMember(t.cfg.Node, t.cfg.DataCentre, t.cfg.Address)
	own := t.view.LiveIn(t.cfg.DataCentre)
	var f wire.RelayedSeqs
	for _, e := range t.entries {
		if e.DataCentre == t.cfg.DataCentre || now.Sub(e.lastDirect) >= period {
			continue
		}
		if inTopN(e.hash, own, self, 1) || now.Sub(e.lastRelayed) > 2*period {
			f = f.Append(e.Node.Short(), e.seq)
		}
	}
	return f
}

// handleRelay processes the sequence numbers of remote daemons that a peer of this
// data centre relayed. Only the low 16 bits are sent; they are compared as serial
// numbers, half the range of which is more than two hours of heartbeats. If two
// daemons have the same ShortID, byShortID holds only one of them, and the other
// appears dead in data centres that receive its progress by relay alone.
func (t *Table) handleRelay(now time.Time, f wire.RelayedSeqs) {
	for id, low := range f.All() {
		e := t.byShortID[id]
		if e == nil || e.DataCentre == t.cfg.DataCentre {
			continue
		}
		e.lastRelayed = now
		if e.seq == 0 {
			t.recordProgress(now, e, uint64(low))
			continue
		}
		if ahead := int16(low - uint16(e.seq)); ahead > 0 {
			t.recordProgress(now, e, e.seq+uint64(ahead))
		}
	}
}
