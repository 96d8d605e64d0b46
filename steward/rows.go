package steward

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// rowFilter leaves out rows that say nothing new: an unchanged load is told
// again only once each refresh, so that a quiet fleet costs few bytes.
type rowFilter struct {
	refresh time.Duration
	number  uint64
	told    map[uint16]toldRow
}

type toldRow struct {
	row wire.BoardRow
	at  time.Time
}

func newRowFilter(refresh time.Duration) *rowFilter {
	return &rowFilter{refresh: refresh, told: map[uint16]toldRow{}}
}

// reset makes the next rows all be told, as when a peer joined.
func (f *rowFilter) reset() { clear(f.told) }

// changed returns the rows to tell now.
func (f *rowFilter) changed(now time.Time, rows []wire.BoardRow) []wire.BoardRow {
	out := rows[:0]
	for _, row := range rows {
		if row.BundleNumber != f.number {
			f.reset()
			f.number = row.BundleNumber
		}
		bare := row
		bare.AgeMS = 0
		if t, ok := f.told[row.Index]; ok && t.row == bare && now.Sub(t.at) < f.refresh {
			continue
		}
		f.told[row.Index] = toldRow{bare, now}
		out = append(out, row)
	}
	return out
}
