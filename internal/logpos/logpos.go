// Package logpos names positions in a log that its operator may restore from a copy.
//
// A restored log has lost its newest records and gives out their offsets again. An offset alone
// then no longer identifies a record: a reader that keeps one may skip records, or wait for records
// that it takes for old ones. Each restoration begins a new epoch, and a position is an offset
// together with its epoch.
package logpos

// Epoch numbers the periods between two restorations of a log; a later epoch is greater. Zero
// means that it is unknown.
type Epoch uint64

// EpochOf returns the epoch to which the log itself gives a number, which may be zero.
func EpochOf(number uint64) Epoch { return Epoch(number) + 1 }

// Number returns the number that the log gives to a known epoch.
func (e Epoch) Number() uint64 { return uint64(max(e, 1)) - 1 }
