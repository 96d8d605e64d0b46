package board

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// Units and limits of wire.BoardRow. rowTokenUnit is the number of tokens per unit of
// QueuedKTok.
const (
	rowTokenUnit = 256
	// rowMaxAge is the largest age of a load that is sent. A row cannot encode more
	// than 4.08 s.
	rowMaxAge = 4 * time.Second
)

// Rows returns the rows to send to peers: the loads of the upstreams that this daemon
// is the steward of. Loads older than 4 s are omitted.
func (b *Board) Rows(now time.Time, stewarded []string) []wire.BoardRow {
	if b.version == nil {
		return nil
	}
	own := make(map[string]bool, len(stewarded))
	for _, name := range stewarded {
		own[name] = true
	}
	rows := make([]wire.BoardRow, 0, len(stewarded))
	for i, name := range b.names {
		e := b.entries[name]
		if !own[name] || !e.reported || i > wire.MaxBoardIndex || now.Sub(e.loadAt) > rowMaxAge {
			continue
		}
		rows = append(rows, b.row(now, e, uint16(i)))
	}
	return rows
}

func (b *Board) row(now time.Time, e *entry, index uint16) wire.BoardRow {
	return wire.BoardRow{
		BundleNumber: b.version.Number,
		Index:        index,
		Active:       saturate8(e.active),
		Queued:       saturate8(e.queued),
		StepMS:       saturate8(int(e.step.Milliseconds())),
		LinkBusyMS:   millis16(e.linkFreeAt.Sub(now)),
		QueuedKTok:   saturate8((e.queuedTokens + rowTokenUnit - 1) / rowTokenUnit),
		AgeMS:        millis16(now.Sub(e.loadAt)),
		Leaving:      e.notices.direct(),
	}
}

func saturate8(v int) uint8 { return uint8(min(max(v, 0), 1<<8-1)) }

func millis16(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), 1<<16-1))
}

// ApplyRows applies rows received from a peer. A load's age is the age in its row plus the
// time since the row arrived; the network delay, about a millisecond, is unknown and
// ignored. For each upstream the newest load wins. Rows of a bundle version with a
// different list of upstreams are dropped, because their indexes refer to other
// upstreams.
func (b *Board) ApplyRows(now time.Time, rows []wire.BoardRow) {
	if b.version == nil {
		return
	}
	for i := range rows {
		row := &rows[i]
		if row.BundleNumber < b.namesSince || row.BundleNumber > b.version.Number || int(row.Index) >= len(b.names) {
			continue
		}
		b.applyRow(now, b.entries[b.names[row.Index]], row)
	}
}

func (b *Board) applyRow(now time.Time, e *entry, row *wire.BoardRow) {
	at := now.Add(-time.Duration(row.AgeMS) * time.Millisecond)
	if row.Leaving {
		b.MarkLeaving(now, e.name, FromPeer)
	} else {
		b.clearAfterRestart(e, at)
	}
	if !at.After(e.loadAt) {
		return
	}
	e.active, e.queued = int(row.Active), int(row.Queued)
	e.queuedTokens = int(row.QueuedKTok) * rowTokenUnit
	e.step = time.Duration(row.StepMS) * time.Millisecond
	e.linkFreeAt = now.Add(time.Duration(row.LinkBusyMS) * time.Millisecond)
	e.loadAt, e.loadSource = at, LoadFromPeer
	b.markChanged(e, false)
}
