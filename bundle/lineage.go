package bundle

import "github.com/pkg/errors"

// Limits on the records since the last snapshot. They are part of Format: every
// daemon rejects a delta that exceeds them, so that the next record must be a
// snapshot. This keeps all records that a new daemon needs within one checkpoint.
const (
	// MaxDeltas is the maximum number of deltas after a snapshot.
	MaxDeltas = 4096
	// MaxLineage is the maximum size of a snapshot and its deltas, in bytes.
	MaxLineage = 2 * MaxRecord
)

// Version is an adopted bundle with its number. It is immutable.
type Version struct {
	Bundle *Bundle
	Number uint64
	Digest Digest // of the record that was adopted last
	// Changes lists the differences from an earlier version; nil if they are unknown.
	Changes *Changes
}

// Changes lists the upstreams in which a version differs from an earlier one.
type Changes struct {
	Since     uint64   // the number of the earlier version
	Upstreams []string // names
}

// link is one adopted record of a lineage.
type link struct {
	number uint64
	digest Digest // of the record
	parent Digest // of its parent
	raw    []byte // as stored
}

// lineage is a version together with the records that it is built from: the
// last snapshot and the deltas after it. It is immutable; the zero value is the
// state before the first version.
type lineage struct {
	version *Version
	links   []link // with consecutive numbers, the first one a snapshot
	size    int    // of the records, in bytes
}

// number returns the version's number, or 0 before the first version.
func (l lineage) number() uint64 {
	if l.version == nil {
		return 0
	}
	return l.version.Number
}

// digest returns the version's digest, or the zero digest before the first version.
func (l lineage) digest() Digest {
	if l.version == nil {
		return Digest{}
	}
	return l.version.Digest
}

// find returns the record with a number; ok is false if the number is below the
// last snapshot or above the version.
func (l lineage) find(number uint64) (link, bool) {
	if len(l.links) == 0 || number < l.links[0].number || number > l.number() {
		return link{}, false
	}
	return l.links[number-l.links[0].number], true
}

// contains reports whether r is one of the lineage's records.
func (l lineage) contains(r *Record) bool {
	known, ok := l.find(r.Number)
	return ok && known.digest == r.Digest()
}

// conflictsWith reports whether the lineage has a different record with the number of r.
func (l lineage) conflictsWith(r *Record) bool {
	known, ok := l.find(r.Number)
	return ok && known.digest != r.Digest()
}

// extend returns the lineage with a verified record added. The caller must have
// checked that the record's parent is the lineage's version, or that the record
// is a snapshot that may replace the lineage. A snapshot starts a new lineage.
func (l lineage) extend(r *Record) (lineage, error) {
	var parent *Bundle
	if l.version != nil {
		parent = l.version.Bundle
	}
	out := lineage{size: len(r.Raw())}
	if r.Kind == KindDelta {
		out.size += l.size
		out.links = l.links[:len(l.links):len(l.links)]
	}
	if len(out.links) > MaxDeltas || out.size > MaxLineage {
		return lineage{}, errors.New("too many records or bytes since the last snapshot: the next record must be a snapshot")
	}
	content, err := r.Content(parent)
	if err != nil {
		return lineage{}, err
	}
	out.version = &Version{Bundle: content, Number: r.Number, Digest: r.Digest()}
	out.links = append(out.links, link{number: r.Number, digest: r.Digest(), parent: r.ParentDigest, raw: r.Raw()})
	return out, nil
}

// rawRecords returns the stored form of the links from an index on.
func (l lineage) rawRecords(from int) [][]byte {
	out := make([][]byte, 0, len(l.links)-from)
	for _, k := range l.links[from:] {
		out = append(out, k.raw)
	}
	return out
}
