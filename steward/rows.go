package steward

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// rowFilter selects the board rows to send to peers; a row is the load of one upstream.
// It drops a row that is the same as the one last sent, apart from its age, until
// refresh has passed, so that upstreams whose load does not change take little
// bandwidth.
type rowFilter struct {
	refresh      time.Duration
	bundleNumber uint64
	sent         map[uint16]sentRow
}

// sentRow is the last sent row of an upstream, with AgeMS set to zero.
type sentRow struct {
	row    wire.BoardRow
	sentAt time.Time
}

func newRowFilter(refresh time.Duration) *rowFilter {
	return &rowFilter{refresh: refresh, sent: map[uint16]sentRow{}}
}

// reset makes changed return every row once more, for example for a new peer.
func (f *rowFilter) reset() { clear(f.sent) }

// changed returns the rows to send now. It reuses the memory of rows.
func (f *rowFilter) changed(now time.Time, rows []wire.BoardRow) []wire.BoardRow {
	out := rows[:0]
	for _, row := range rows {
		if row.BundleNumber != f.bundleNumber {
			f.reset()
			f.bundleNumber = row.BundleNumber
		}
		withoutAge := row
		withoutAge.AgeMS = 0
		if last, ok := f.sent[row.Index]; ok && last.row == withoutAge && now.Sub(last.sentAt) < f.refresh {
			continue
		}
		f.sent[row.Index] = sentRow{withoutAge, now}
		out = append(out, row)
	}
	return out
}
