package bundle

// MaxServe is the maximum size of the records in one response to a peer, in
// bytes. Such a response fits in one frame of the peer protocol, and has room for
// a record of the maximum size.
const MaxServe = MaxRecord + 256<<10

// View is the state of a Chain that a daemon serves to its peers. It is immutable
// and safe for concurrent use.
type View struct {
	// Number and Digest identify the version in force; zero before the first.
	Number uint64
	Digest Digest
	// Through is the offset such that version Number was in force after all log
	// records below it. It is valid only if CaughtUp is set.
	Through  uint64
	CaughtUp bool

	inForce lineage
}

// View returns the chain's current state for peers.
func (c *Chain) View() *View {
	return &View{
		Number: c.inForce.number(), Digest: c.inForce.digest(),
		Through: c.next, CaughtUp: c.CaughtUp(), inForce: c.inForce,
	}
}

// RecordsAfter returns the adopted records with numbers above number, in order.
// If number is below the last snapshot, it returns the records from that snapshot
// on. The result is limited to MaxServe bytes, but has at least one record if
// there are any.
func (v *View) RecordsAfter(number uint64) [][]byte {
	if number >= v.Number {
		return nil
	}
	from := 0
	if first := v.inForce.links[0].number; number >= first {
		from = int(number - first + 1)
	}
	return truncateToMaxServe(v.inForce.rawRecords(from))
}

// Record returns the adopted record with a number; ok is false for a number above
// the version in force or below the last snapshot.
func (v *View) Record(number uint64) (r *Record, ok bool) {
	known, ok := v.inForce.find(number)
	if !ok {
		return nil, false
	}
	r, err := DecodeRecord(known.raw)
	return r, err == nil
}

// Deltas returns the number of deltas since the last snapshot.
func (v *View) Deltas() int { return max(0, len(v.inForce.links)-1) }

// RecordsAfter returns what View.RecordsAfter returns.
func (c *Chain) RecordsAfter(number uint64) [][]byte { return c.View().RecordsAfter(number) }

// truncateToMaxServe returns the first records, as many as fit in MaxServe bytes
// but at least one.
func truncateToMaxServe(records [][]byte) [][]byte {
	size := 0
	for i, r := range records {
		size += len(r)
		if size > MaxServe && i > 0 {
			return records[:i]
		}
	}
	return records
}
