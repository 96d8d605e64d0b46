package bundle

import "github.com/pkg/errors"

// Bounds of the records since the last snapshot. They are rules of Format: a
// delta beyond them is invalid everywhere, and the next record must be a
// snapshot, so that a checkpoint always holds what a fresh daemon needs.
const (
	// MaxDeltas bounds the deltas on one snapshot, in records.
	MaxDeltas = 4096
	// MaxLineage bounds a snapshot and its deltas, in bytes.
	MaxLineage = 2 * MaxRecord
)

// Version is a bundle in force. It is immutable.
type Version struct {
	Bundle *Bundle
	Number uint64
	Digest Digest
	// Changes tells how the version differs from one before; nil where nobody knows.
	Changes *Changes
}

// Changes are the upstreams in which a version differs from another one.
type Changes struct {
	Since     uint64 // the number of the other one
	Upstreams []string
}

// link is one adopted record.
type link struct {
	number uint64
	digest Digest
	parent Digest
	raw    []byte
}

// lineage is a version and the records that make it, from the last snapshot
// on. It is immutable; the zero value is the state before the first version.
type lineage struct {
	version *Version
	links   []link
	size    int // of the records, in bytes
}

func (l lineage) number() uint64 {
	if l.version == nil {
		return 0
	}
	return l.version.Number
}

func (l lineage) digest() Digest {
	if l.version == nil {
		return Digest{}
	}
	return l.version.Digest
}

// find returns the record of a number, if it is not older than the last snapshot.
func (l lineage) find(number uint64) (link, bool) {
	if len(l.links) == 0 || number < l.links[0].number || number > l.number() {
		return link{}, false
	}
	return l.links[number-l.links[0].number], true
}

// holds reports whether the record is one of the lineage's.
func (l lineage) holds(r *Record) bool {
	known, ok := l.find(r.Number)
	return ok && known.digest == r.Digest()
}

// conflicts reports whether the lineage has another record for the number.
func (l lineage) conflicts(r *Record) bool {
	known, ok := l.find(r.Number)
	return ok && known.digest != r.Digest()
}

// extend returns the lineage with a verified record added. The caller has
// checked that the record's parent is the lineage's version, or that it is a
// snapshot which may be jumped to.
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
		return lineage{}, errors.New("too much since the last snapshot: the next record must be a snapshot")
	}
	content, err := r.Content(parent)
	if err != nil {
		return lineage{}, err
	}
	out.version = &Version{Bundle: content, Number: r.Number, Digest: r.Digest()}
	out.links = append(out.links, link{number: r.Number, digest: r.Digest(), parent: r.ParentDigest, raw: r.Raw()})
	return out, nil
}

// raw returns the records from an index on.
func (l lineage) raw(from int) [][]byte {
	out := make([][]byte, 0, len(l.links)-from)
	for _, k := range l.links[from:] {
		out = append(out, k.raw)
	}
	return out
}
