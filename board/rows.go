package board

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// The units and bounds of wire.BoardRow.
const (
	rowTokenUnit = 256
	// rowMaxAge is the oldest load worth telling; a row could not state a larger age.
	rowMaxAge = 4 * time.Second
)

// Rows returns what this daemon knows of the upstreams in mine, those it is
// steward of, for its peers. Loads older than 4 s are left out.
func (b *Board) Rows(now time.Time, mine []string) []wire.BoardRow {
	if b.version == nil {
		return nil
	}
	own := make(map[string]bool, len(mine))
	for _, name := range mine {
		own[name] = true
	}
	rows := make([]wire.BoardRow, 0, len(mine))
	for i, name := range b.names {
		e := b.entries[name]
		if !own[name] || !e.heard || i > wire.MaxBoardIndex || now.Sub(e.loadAt) > rowMaxAge {
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
		Leaving:      e.notices.firstHand(),
	}
}

func saturate8(v int) uint8 { return uint8(min(max(v, 0), 1<<8-1)) }

func millis16(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), 1<<16-1))
}

// Apply takes rows that a peer told. The age of a load is the age that the row
// states, plus the time the row is kept here; the time on the way, about a
// millisecond, is not known and not counted. The newest load wins. Rows of a
// version with other upstreams are dropped, their indexes meaning others.
func (b *Board) Apply(now time.Time, rows []wire.BoardRow) {
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
		b.Leaving(now, e.name, FromPeer)
	} else {
		b.servedSince(e, at)
	}
	if !at.After(e.loadAt) {
		return
	}
	e.active, e.queued = int(row.Active), int(row.Queued)
	e.queuedTokens = int(row.QueuedKTok) * rowTokenUnit
	e.step = time.Duration(row.StepMS) * time.Millisecond
	e.linkFreeAt = now.Add(time.Duration(row.LinkBusyMS) * time.Millisecond)
	e.loadAt, e.source = at, LoadFromPeer
	b.touch(e, false)
}
