package bundle

import (
	"bytes"

	"github.com/pkg/errors"
)

// MaxCheckpoint bounds an encoded checkpoint, in bytes.
const MaxCheckpoint = MaxLineage + 64<<10

// checkpointMagic opens an encoded checkpoint and tells it from a record.
const checkpointMagic = "CTC1"

// checkpoint carries the log's state over retention. Daemons append it; it is
// not signed, but every record in it is. Through is what makes it usable: the
// last of Records was in force after all log records below Through. A reader
// that has every record from Through on can go on from there and judges each
// race as those did who saw the whole log. The offset at which the checkpoint
// itself stands says nothing: its append may have been delayed while others won.
type checkpoint struct {
	Through uint64
	Records [][]byte // from a snapshot on, consecutive
}

// Checkpoint returns a checkpoint of the log's state as read so far. ok is false
// when there is none: nothing adopted, no base, or what a peer brought is still
// ahead of the log.
func (c *Chain) Checkpoint() (data []byte, ok bool) {
	if !c.CaughtUp() {
		return nil, false
	}
	data, err := encodeCheckpoint(checkpoint{Through: c.next, Records: c.log.raw(0)})
	return data, err == nil && len(data) <= MaxCheckpoint
}

func encodeCheckpoint(cp checkpoint) ([]byte, error) {
	p := pack(checkpointMagic)
	p.uint(cp.Through)
	p.list(len(cp.Records))
	for _, r := range cp.Records {
		p.bytes(r)
	}
	return p.done()
}

func isCheckpoint(data []byte) bool { return bytes.HasPrefix(data, []byte(checkpointMagic)) }

// decodeCheckpoint decodes a checkpoint and its records without checking signatures.
func decodeCheckpoint(data []byte) (checkpoint, []*Record, error) {
	var cp checkpoint
	if len(data) > MaxCheckpoint {
		return cp, nil, errors.Errorf("checkpoint of %d bytes exceeds %d", len(data), MaxCheckpoint)
	}
	u := unpack(data[len(checkpointMagic):])
	cp.Through = u.uint()
	for range u.list(MaxDeltas + 1) {
		cp.Records = append(cp.Records, u.bytes())
	}
	if u.err != nil || len(cp.Records) == 0 {
		return cp, nil, errors.Errorf("decode checkpoint of %d records: %v", len(cp.Records), u.err)
	}
	records := make([]*Record, 0, len(cp.Records))
	for _, raw := range cp.Records {
		r, err := DecodeRecord(raw)
		if err != nil {
			return cp, nil, err
		}
		records = append(records, r)
	}
	return cp, records, nil
}

// CheckpointThrough returns the offset a checkpoint speaks from; ok is false
// for data that is not a checkpoint.
func CheckpointThrough(data []byte) (through uint64, ok bool) {
	if !isCheckpoint(data) {
		return 0, false
	}
	cp, _, err := decodeCheckpoint(data)
	return cp.Through, err == nil
}

// offerCheckpoint judges the checkpoint that stands at an offset of the log.
func (c *Chain) offerCheckpoint(offset uint64, data []byte) (Verdict, error) {
	cp, records, err := decodeCheckpoint(data)
	if err != nil {
		return Invalid, err
	}
	if cp.Through > offset {
		return Invalid, errors.Errorf("checkpoint at %d speaks of offset %d", offset, cp.Through)
	}
	if c.based {
		return c.confirm(records)
	}
	if cp.Through < c.covered {
		return Stale, errors.Errorf("checkpoint through %d, but only records from %d on are seen", cp.Through, c.covered)
	}
	return c.rebaseOn(cp, records)
}

// confirm compares a checkpoint with the log's state; it changes nothing.
func (c *Chain) confirm(records []*Record) (Verdict, error) {
	for _, r := range records {
		if c.log.conflicts(r) {
			return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
		}
		if !c.log.holds(r) {
			return Stale, nil
		}
	}
	return Confirmed, nil
}

// rebaseOn takes a checkpoint as the log's state and goes back to the offset it speaks from.
func (c *Chain) rebaseOn(cp checkpoint, records []*Record) (Verdict, error) {
	state, err := c.replay(records)
	if err != nil {
		return invalid(err)
	}
	for _, r := range records {
		if c.inForce.conflicts(r) {
			return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
		}
	}
	if state.number() > c.inForce.number() {
		c.inForce = state
	}
	c.rebase(state, cp.Through)
	return Base, nil
}

// replay verifies and applies a checkpoint's records on a chain of their own.
func (c *Chain) replay(records []*Record) (lineage, error) {
	fresh := &Chain{trust: c.trust}
	for _, r := range records {
		if v, err := fresh.Offer(r.Raw()); v != Adopted {
			return lineage{}, errors.Wrapf(err, "record %d of the checkpoint is %s", r.Number, v)
		}
	}
	return fresh.inForce, nil
}
