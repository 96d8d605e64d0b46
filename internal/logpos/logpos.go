// Package logpos names positions in a log that its operator may restore from a copy.
//
// A restored log has lost its newest records and gives out their offsets again. An offset alone
// then no longer identifies a record: a reader that keeps one may skip records, or wait for records
// that it takes for old ones. Each restoration begins a new epoch, and a position is an offset
// together with its epoch.
package logpos

import (
	"strconv"

	"github.com/pkg/errors"
)

// ErrRestored means that a log has been restored from a copy, so that a position in it of an earlier
// epoch means nothing any more.
var ErrRestored = errors.New("the log has been restored from a copy")

// Epoch numbers the periods between two restorations of a log; a later epoch is greater. Zero
// means that it is unknown.
type Epoch uint64

// Unnumbered is the epoch of a log that has not told the number of any. It comes before all numbered
// ones: the log may tell numbers only from its first restoration on.
const Unnumbered Epoch = 1

// EpochOf returns the epoch to which the log itself gives a number, which may be zero.
func EpochOf(number uint64) Epoch { return Unnumbered + 1 + Epoch(number) }

// Number returns the number that the log gives to the epoch; zero for an unknown or unnumbered one.
func (e Epoch) Number() uint64 { return uint64(max(e, EpochOf(0)) - EpochOf(0)) }

// After reports whether both epochs are known and e is the later one.
func (e Epoch) After(o Epoch) bool { return o != 0 && e > o }

// Position is a position in a log: the offset of a record in an epoch.
type Position struct {
	Epoch  Epoch
	Offset uint64
}

// Before reports whether p comes before o. Offsets are compared only within an epoch, and where one
// of the epochs is unknown.
func (p Position) Before(o Position) bool {
	if p.Epoch != o.Epoch && p.Epoch != 0 && o.Epoch != 0 {
		return p.Epoch < o.Epoch
	}
	return p.Offset < o.Offset
}

// String returns the number of the epoch, if it has one, and the offset.
func (p Position) String() string {
	offset := strconv.FormatUint(p.Offset, 10)
	if p.Epoch <= Unnumbered {
		return offset
	}
	return strconv.FormatUint(p.Epoch.Number(), 10) + "/" + offset
}
