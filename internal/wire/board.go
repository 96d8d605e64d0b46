package wire

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Board tells peers the load of the upstreams the sender is steward of. On the
// wire it is a msgpack array of alternating bundle numbers and packed rows.
type Board struct {
	Rows []BoardRow
}

// BoardRow is the load of one upstream. Index is the upstream's position in
// the sorted list of upstream names of bundle BundleNumber; a receiver with
// another number drops the row. The comments give what packing keeps of a field.
type BoardRow struct {
	BundleNumber uint64 // once for each run of rows
	Index        uint16 // at most MaxBoardIndex
	Active       uint8
	Queued       uint8
	StepMS       uint8
	LinkBusyMS   uint16 // rounded up to linkUnit, at most 255 units
	QueuedKTok   uint8  // queued prompt tokens, in units of 256
	AgeMS        uint16 // rounded up to ageUnit, at most 255 units
	Leaving      bool   // top bit of the packed index
}

const (
	// RowBytes is the size of one packed row.
	RowBytes = 8
	// MaxBoardIndex is the largest upstream index that a row can carry.
	MaxBoardIndex = 1<<15 - 1

	leavingBit = 1 << 15
	linkUnit   = 16 // milliseconds; a link booked 4.08 s ahead is as bad as one booked longer
	ageUnit    = 16 // milliseconds; rows older than 4.08 s are useless alike
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b *Board) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(2 * countRuns(b.Rows)); err != nil {
		return err
	}
	var buf []byte
	for rest := b.Rows; len(rest) > 0; {
		n := runLen(rest)
		if err := enc.EncodeUint(rest[0].BundleNumber); err != nil {
			return err
		}
		buf = buf[:0]
		for i := range rest[:n] {
			var err error
			if buf, err = appendRow(buf, &rest[i]); err != nil {
				return err
			}
		}
		if err := enc.EncodeBytes(buf); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. It reuses b.Rows.
func (b *Board) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n%2 != 0 {
		return errors.Errorf("board has %d parts", n)
	}
	b.Rows = b.Rows[:0]
	for range n / 2 {
		if err := b.decodeRun(dec); err != nil {
			return err
		}
	}
	return nil
}

func (b *Board) decodeRun(dec *msgpack.Decoder) error {
	number, err := dec.DecodeUint64()
	if err != nil {
		return err
	}
	packed, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(packed)%RowBytes != 0 {
		return errors.Errorf("board rows take %d bytes", len(packed))
	}
	for ; len(packed) > 0; packed = packed[RowBytes:] {
		b.Rows = append(b.Rows, row(number, packed))
	}
	return nil
}

func countRuns(rows []BoardRow) int {
	n := 0
	for ; len(rows) > 0; n++ {
		rows = rows[runLen(rows):]
	}
	return n
}

// runLen returns how many rows from the first on are of the same bundle.
func runLen(rows []BoardRow) int {
	n := 1
	for n < len(rows) && rows[n].BundleNumber == rows[0].BundleNumber {
		n++
	}
	return n
}

func appendRow(dst []byte, r *BoardRow) ([]byte, error) {
	if r.Index > MaxBoardIndex {
		return dst, errors.Errorf("upstream index %d is over %d", r.Index, MaxBoardIndex)
	}
	index := r.Index
	if r.Leaving {
		index |= leavingBit
	}
	dst = binary.BigEndian.AppendUint16(dst, index)
	return append(dst, r.Active, r.Queued, r.StepMS,
		units(r.LinkBusyMS, linkUnit), r.QueuedKTok, units(r.AgeMS, ageUnit)), nil
}

func row(number uint64, p []byte) BoardRow {
	index := binary.BigEndian.Uint16(p)
	return BoardRow{
		BundleNumber: number,
		Index:        index &^ leavingBit,
		Leaving:      index&leavingBit != 0,
		Active:       p[2],
		Queued:       p[3],
		StepMS:       p[4],
		LinkBusyMS:   uint16(p[5]) * linkUnit,
		QueuedKTok:   p[6],
		AgeMS:        uint16(p[7]) * ageUnit,
	}
}

// units returns v in units, rounded up and saturated, so that a receiver never
// believes a load younger or a link freer than it is.
func units(v, unit uint16) uint8 {
	return uint8(min((int(v)+int(unit)-1)/int(unit), 255))
}
