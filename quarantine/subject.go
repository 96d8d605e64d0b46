package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
)

// Subject is what a crash may be held against in a request: all of its content, or one of the parts
// of its prompt that it shares with other requests.
//
// Digests are computed on first use, since most requests need none. A Subject is safe for concurrent
// use.
type Subject struct {
	digest func() Digest
	parts  func() []Digest
}

// NewSubject returns a subject with functions that compute its digests: that of the whole request,
// and those of the prompt's parts in their order, without the one that belongs to the request alone.
func NewSubject(digest func() Digest, parts func() []Digest) Subject {
	return Subject{digest: sync.OnceValue(digest), parts: sync.OnceValue(parts)}
}

// SubjectOf returns a subject whose digests are known.
func SubjectOf(digest Digest, parts ...Digest) Subject {
	return Subject{digest: func() Digest { return digest }, parts: func() []Digest { return parts }}
}

// WithoutParts returns the subject for an event that says nothing about the prompt's parts.
func (s Subject) WithoutParts() Subject {
	return Subject{digest: s.digest, parts: func() []Digest { return nil }}
}

// partMarker is how the digest of a prompt part begins. The digest of a whole request begins with it
// by a chance of 1 in 2^32.
const partMarker = "part"

// partIDLen is the number of bytes of a part's id that its digest shows, so that logs and tools can
// name the part.
const partIDLen = 4

// PartDigest returns the digest of a prompt part. The scope is the team that the part belongs to:
// parts of two teams are never the same, since a team could otherwise have requests of another
// team refused by sending its parts.
func PartDigest(scope, id string) (d Digest) {
	sum := sha256.Sum256([]byte(scope + "\x00" + id))
	n := copy(d[:], partMarker)
	if raw, err := hex.DecodeString(id); err == nil && len(raw) == partIDLen {
		copy(d[n:], raw)
	} else {
		copy(d[n:], sum[len(d):])
	}
	copy(d[n+partIDLen:], sum[:])
	return d
}

// IsPart reports whether a digest is that of a prompt part.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d[:]), partMarker) }

// PartID returns the id of a prompt part that has 8 hexadecimal digits, and 8 digits that stand for
// any other; it is empty for the digest of a whole request.
func (d Digest) PartID() string {
	if !d.IsPart() {
		return ""
	}
	return hex.EncodeToString(d[len(partMarker) : len(partMarker)+partIDLen])
}

// maxReportedParts bounds the parts of one lost run that are logged and recorded.
const maxReportedParts = 128

// reportedParts returns the parts to report of a request: all of them or, if a request has more than
// maxReportedParts, as many from the beginning as from the end.
func (s Subject) reportedParts() []Digest {
	parts := s.parts()
	n := len(parts)
	if n <= maxReportedParts {
		return parts
	}
	return slices.Concat(parts[:maxReportedParts/2], parts[n-maxReportedParts/2:])
}

// partIDs returns the ids of parts, separated by commas, for logs.
func partIDs(parts []Digest) string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.PartID())
	}
	return strings.Join(ids, ",")
}
