package wire

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Board reports the load of the upstreams that the sender is the steward of, that is,
// whose load it polls on behalf of all daemons. On the wire it is a msgpack array that
// alternates between a bundle number and the packed rows of that bundle.
type Board struct {
	Rows []BoardRow
}

// BoardRow is the load of one upstream. Index is the upstream's position in the
// sorted list of upstream names of configuration bundle BundleNumber; a receiver that
// runs another bundle drops the row.
type BoardRow struct {
	BundleNumber uint64 // encoded once for consecutive rows of the same bundle
	Index        uint16 // at most MaxBoardIndex
	Active       uint8  // requests in progress
	Queued       uint8  // requests in its queue
	StepMS       uint8  // duration of an engine step, in milliseconds
	LinkBusyMS   uint16 // time for which the link is booked ahead; packed in units of linkBusyUnitMS
	QueuedKTok   uint8  // queued prompt tokens, in units of 256
	AgeMS        uint16 // age of the measurement; packed in units of ageUnitMS
	Leaving      bool   // the upstream is leaving; top bit of the packed index
}

const (
	// BoardRowBytes is the size of one packed row.
	BoardRowBytes = 8
	// MaxBoardIndex is the largest upstream index that a row can carry.
	MaxBoardIndex = 1<<15 - 1

	// leavingBit is the bit of the packed index that holds BoardRow.Leaving.
	leavingBit = 1 << 15
	// linkBusyUnitMS and ageUnitMS are the units of the packed LinkBusyMS and AgeMS, in
	// milliseconds. One byte holds up to 255 units, which is 4.08 s. Larger values need
	// not be distinguished: a link booked further ahead is no worse a choice, and older
	// rows are equally useless.
	linkBusyUnitMS = 16
	ageUnitMS      = 16
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b *Board) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(2 * countBundleRuns(b.Rows)); err != nil {
		return err
	}
	var buf []byte
	for rest := b.Rows; len(rest) > 0; {
		n := bundleRunLen(rest)
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
		return errors.Errorf("board array has odd length %d", n)
	}
	b.Rows = b.Rows[:0]
	for range n / 2 {
		if err := b.decodeBundleRun(dec); err != nil {
			return err
		}
	}
	return nil
}

// decodeBundleRun decodes one bundle number and its rows, and appends them to b.Rows.
func (b *Board) decodeBundleRun(dec *msgpack.Decoder) error {
	number, err := dec.DecodeUint64()
	if err != nil {
		return err
	}
	packed, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(packed)%BoardRowBytes != 0 {
		return errors.Errorf("packed board rows take %d bytes, not a multiple of the row size", len(packed))
	}
	for ; len(packed) > 0; packed = packed[BoardRowBytes:] {
		b.Rows = append(b.Rows, unpackRow(number, packed))
	}
	return nil
}

// countBundleRuns returns the number of runs of consecutive rows of the same bundle.
func countBundleRuns(rows []BoardRow) int {
	n := 0
	for ; len(rows) > 0; n++ {
		rows = rows[bundleRunLen(rows):]
	}
	return n
}

// bundleRunLen returns the length of the first run: rows with the bundle number of
// rows[0]. rows must not be empty.
func bundleRunLen(rows []BoardRow) int {
	n := 1
	for n < len(rows) && rows[n].BundleNumber == rows[0].BundleNumber {
		n++
	}
	return n
}

// appendRow appends the packed form of r, of BoardRowBytes bytes, to dst.
func appendRow(dst []byte, r *BoardRow) ([]byte, error) {
	if r.Index > MaxBoardIndex {
		return dst, errors.Errorf("upstream index %d exceeds the limit %d", r.Index, MaxBoardIndex)
	}
	index := r.Index
	if r.Leaving {
		index |= leavingBit
	}
	dst = binary.BigEndian.AppendUint16(dst, index)
	return append(dst, r.Active, r.Queued, r.StepMS,
		toUnits(r.LinkBusyMS, linkBusyUnitMS), r.QueuedKTok, toUnits(r.AgeMS, ageUnitMS)), nil
}

// unpackRow decodes the packed row at the start of p.
func unpackRow(number uint64, p []byte) BoardRow {
	index := binary.BigEndian.Uint16(p)
	return BoardRow{
		BundleNumber: number,
		Index:        index &^ leavingBit,
		Leaving:      index&leavingBit != 0,
		Active:       p[2],
		Queued:       p[3],
		StepMS:       p[4],
		LinkBusyMS:   uint16(p[5]) * linkBusyUnitMS,
		QueuedKTok:   p[6],
		AgeMS:        uint16(p[7]) * ageUnitMS,
	}
}

// toUnits converts v to units, rounded up and limited to 255. Rounding up ensures
// that a receiver does not take a measurement for younger, or a link for less busy,
// than it is.
func toUnits(v, unit uint16) uint8 {
	return uint8(min((int(v)+int(unit)-1)/int(unit), 255))
}
