package bundle

import (
	"bytes"

	"github.com/pkg/errors"
)

// MaxCheckpoint is the maximum size of an encoded checkpoint, in bytes: a full
// lineage, and 64 KiB for the lengths of its records.
const MaxCheckpoint = MaxLineage + 64<<10

// checkpointMagic is the prefix of an encoded checkpoint; recordMagic is that of a record.
const checkpointMagic = "CTC1"

// checkpoint preserves the state derived from the log when retention drops the
// records that it came from. Daemons append checkpoints to the log. A
// checkpoint is not signed, but every record in it is.
//
// A reader that has every log record from Through on can start from the
// checkpoint, and resolves each race as a reader of the whole log does. The
// checkpoint's own offset cannot serve for this: its append may have been
// delayed while other records were adopted.
type checkpoint struct {
	// Through is the offset such that the last of Records was in force after all
	// log records below it.
	Through uint64
	Records [][]byte // consecutive, the first one a snapshot
}

// Checkpoint returns a checkpoint of the log as read so far. ok is false if
// nothing was adopted, if there is no base, if the version in force came from a
// peer and was not reached on the log yet, or if the encoding fails or exceeds
// MaxCheckpoint.
func (c *Chain) Checkpoint() (data []byte, ok bool) {
	if !c.CaughtUp() {
		return nil, false
	}
	data, err := encodeCheckpoint(checkpoint{Through: c.next, Records: c.log.rawRecords(0)})
	return data, err == nil && len(data) <= MaxCheckpoint
}

func encodeCheckpoint(cp checkpoint) ([]byte, error) {
	p := pack(checkpointMagic)
	p.uint(cp.Through)
	p.arrayLen(len(cp.Records))
	for _, r := range cp.Records {
		p.bytes(r)
	}
	return p.finish()
}

func isCheckpoint(data []byte) bool { return bytes.HasPrefix(data, []byte(checkpointMagic)) }

// decodeCheckpoint decodes a checkpoint and its records without verifying signatures.
func decodeCheckpoint(data []byte) (checkpoint, []*Record, error) {
	var cp checkpoint
	if len(data) > MaxCheckpoint {
		return cp, nil, errors.Errorf("checkpoint of %d bytes exceeds %d", len(data), MaxCheckpoint)
	}
	u := unpack(data[len(checkpointMagic):])
	cp.Through = u.uint()
	for range u.arrayLen(MaxDeltas + 1) {
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

// CheckpointThrough returns the Through offset of an encoded checkpoint: its last
// record was in force after all log records below that offset. ok is false for
// data that is not a checkpoint.
func CheckpointThrough(data []byte) (through uint64, ok bool) {
	if !isCheckpoint(data) {
		return 0, false
	}
	cp, _, err := decodeCheckpoint(data)
	return cp.Through, err == nil
}

// offerCheckpoint evaluates a checkpoint read at an offset of the log. With a
// base, the checkpoint is only compared; without one, it may become the base.
func (c *Chain) offerCheckpoint(offset uint64, data []byte) (Verdict, error) {
	cp, records, err := decodeCheckpoint(data)
	if err != nil {
		return Invalid, err
	}
	if cp.Through > offset {
		return Invalid, errors.Errorf("checkpoint at offset %d claims to cover the log up to offset %d", offset, cp.Through)
	}
	if c.based {
		return c.compareCheckpoint(records)
	}
	if cp.Through < c.covered {
		return Stale, errors.Errorf("checkpoint covers the log up to offset %d, but records were read only from offset %d on", cp.Through, c.covered)
	}
	return c.rebaseOnCheckpoint(cp, records)
}

// compareCheckpoint compares a checkpoint's records with the state derived from
// the log. It changes nothing.
func (c *Chain) compareCheckpoint(records []*Record) (Verdict, error) {
	for _, r := range records {
		if c.log.conflictsWith(r) {
			return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
		}
		if !c.log.contains(r) {
			return Stale, nil
		}
	}
	return Confirmed, nil
}

// rebaseOnCheckpoint makes a checkpoint the base, so that the log is read again
// from its Through offset. It adopts the checkpoint's version if that is newer
// than the version in force.
func (c *Chain) rebaseOnCheckpoint(cp checkpoint, records []*Record) (Verdict, error) {
	replayed, err := c.replayRecords(records)
	if err != nil {
		return rejection(err)
	}
	for _, r := range records {
		if c.inForce.conflictsWith(r) {
			return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
		}
	}
	if replayed.number() > c.inForce.number() {
		c.inForce = replayed
	}
	c.rebase(replayed, cp.Through)
	return Base, nil
}

// replayRecords verifies and applies a checkpoint's records on a new chain and
// returns the resulting lineage.
func (c *Chain) replayRecords(records []*Record) (lineage, error) {
	fresh := &Chain{trust: c.trust}
	for _, r := range records {
		if v, err := fresh.Offer(r.Raw()); v != Adopted {
			return lineage{}, errors.Wrapf(err, "record %d of the checkpoint is %s", r.Number, v)
		}
	}
	return fresh.inForce, nil
}
