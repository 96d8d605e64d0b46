package bundle

// MaxServe bounds the records served to a peer at once, in bytes, so that the
// answer fits one frame.
const MaxServe = MaxRecord + 256<<10

// View is what a daemon serves to its peers. It is immutable and safe for concurrent use.
type View struct {
	// Number and Digest name the version in force; 0 before the first.
	Number uint64
	Digest Digest
	// Through is valid when CaughtUp: Number was in force after all log records below it.
	Through  uint64
	CaughtUp bool

	state lineage
}

// View returns the chain's state for peers.
func (c *Chain) View() *View {
	return &View{
		Number: c.inForce.number(), Digest: c.inForce.digest(),
		Through: c.next, CaughtUp: c.CaughtUp(), state: c.inForce,
	}
}

// RecordsAfter returns adopted records in chain order, about MaxServe bytes at
// most: those after a number, or from the last snapshot on when the number is
// too far behind.
func (v *View) RecordsAfter(number uint64) [][]byte {
	if number >= v.Number {
		return nil
	}
	from := 0
	if first := v.state.links[0].number; number >= first {
		from = int(number - first + 1)
	}
	return bounded(v.state.raw(from))
}

// Record returns the adopted record of a number; ok is false for one that is not
// in force yet or older than the last snapshot.
func (v *View) Record(number uint64) (r *Record, ok bool) {
	known, ok := v.state.find(number)
	if !ok {
		return nil, false
	}
	r, err := DecodeRecord(known.raw)
	return r, err == nil
}

// Deltas returns how many deltas follow the last snapshot.
func (v *View) Deltas() int { return max(0, len(v.state.links)-1) }

// RecordsAfter returns what View.RecordsAfter returns.
func (c *Chain) RecordsAfter(number uint64) [][]byte { return c.View().RecordsAfter(number) }

func bounded(records [][]byte) [][]byte {
	size := 0
	for i, r := range records {
		size += len(r)
		if size > MaxServe && i > 0 {
			return records[:i]
		}
	}
	return records
}
