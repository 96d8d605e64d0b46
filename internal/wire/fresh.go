package wire

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// RelayedSeqs is a packed list of the latest heartbeat sequence numbers of other daemons.
// An entry is a ShortID and the low 16 bits of the sequence number.
type RelayedSeqs []byte

// RelayedSeqBytes is the size of one entry of RelayedSeqs.
const RelayedSeqBytes = 6

// ShortID is a 32-bit hash of a NodeID, used in RelayedSeqs. Among 370 daemons, the
// probability that any two have the same ShortID is about 1.6e-5. In that case one of
// the two appears dead in data centres where its heartbeats arrive only as relayed
// entries; see package members.
type ShortID uint32

// Short returns the ShortID of n.
func (n NodeID) Short() ShortID {
	var buf [64]byte
	b := append(buf[:0], n.Instance...)
	b = binary.BigEndian.AppendUint64(b, n.Incarnation)
	return ShortID(xxhash.Sum64(b))
}

// Append adds an entry for one daemon to f.
func (f RelayedSeqs) Append(id ShortID, seq uint64) RelayedSeqs {
	f = binary.BigEndian.AppendUint32(f, uint32(id))
	return binary.BigEndian.AppendUint16(f, uint16(seq))
}

// All returns an iterator over the entries. A truncated last entry is skipped.
func (f RelayedSeqs) All() iter.Seq2[ShortID, uint16] {
	return func(yield func(ShortID, uint16) bool) {
		for ; len(f) >= RelayedSeqBytes; f = f[RelayedSeqBytes:] {
			if !yield(ShortID(binary.BigEndian.Uint32(f)), binary.BigEndian.Uint16(f[4:])) {
				return
			}
		}
	}
}
