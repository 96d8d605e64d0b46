package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math"

	"github.com/pkg/errors"
)

// Format is the version of the record body and of the rules in Validate and
// Apply. A change that makes an invalid record valid, or a valid one invalid,
// needs a new number: otherwise two releases could choose different winners
// when records extend the same parent.
const Format = 1

// MaxRecord is the maximum size of an encoded record, in bytes. Such a record
// fits in one frame of the peer protocol.
const MaxRecord = 3 << 20

// Digest is the SHA-256 of a signed record. It identifies a version.
type Digest = [sha256.Size]byte

// Kind is the type of a record's payload.
type Kind string

// The kinds of record.
const (
	KindSnapshot Kind = "snapshot" // the payload is a whole Bundle in JSON
	KindDelta    Kind = "delta"    // the payload is a Delta in JSON
)

// ErrUnsupported is returned for a record with a later format than this release supports.
var ErrUnsupported = errors.New("the record's format is newer than this release")

// recordMagic is the prefix of an encoded record; checkpointMagic is that of a checkpoint.
const recordMagic = "CTB1"

// Prefixes of the signed messages for domain separation: the signature of one
// role never verifies as that of the other.
const (
	authorDomain   = "corianderturn bundle author 1\n"
	reviewerDomain = "corianderturn bundle reviewer 1\n"
)

// Body is the part of a record that the author signs. It is stored as a msgpack
// array of the fields in this order. Later formats must keep the fields up to
// Author and may add fields at the end, so that this release can verify the
// signatures of their records.
type Body struct {
	Format uint8
	// Number is the version's number, which is its parent's number plus one.
	Number       uint64
	ParentNumber uint64
	ParentDigest Digest
	// Author is the author's key id.
	Author  string
	Kind    Kind
	Payload []byte
	// CreatedAtMS is the time of signing by the author's clock, in milliseconds since
	// the Unix epoch. It is informational only.
	CreatedAtMS int64
}

const (
	// bodyFields is the number of fields of a body in this format.
	bodyFields = 8
	// maxBodyFields is the maximum number of fields of a body in a later format.
	maxBodyFields = 64
	// envelopeFields is the number of fields of an envelope.
	envelopeFields = 4
)

func encodeBody(b Body) ([]byte, error) {
	p := pack("")
	p.arrayLen(bodyFields)
	p.uint(uint64(b.Format))
	p.uint(b.Number)
	p.uint(b.ParentNumber)
	p.bytes(b.ParentDigest[:])
	p.text(b.Author)
	p.text(string(b.Kind))
	p.bytes(b.Payload)
	p.int(b.CreatedAtMS)
	return p.finish()
}

// decodeBody decodes a body. Of a later format it decodes only the fields up to
// Author, which Verify needs.
func decodeBody(data []byte) (Body, error) {
	var b Body
	u := unpack(data)
	n := u.arrayLen(maxBodyFields)
	format := u.uint()
	if u.err == nil && (n < bodyFields || format > math.MaxUint8) {
		return b, errors.Errorf("record body with %d fields and format %d", n, format)
	}
	b.Format = uint8(format)
	b.Number = u.uint()
	b.ParentNumber = u.uint()
	b.ParentDigest = u.digest()
	b.Author = u.text()
	if b.Format > Format {
		return b, errors.Wrap(u.err, "decode record body")
	}
	b.Kind = Kind(u.text())
	b.Payload = u.bytes()
	b.CreatedAtMS = u.int()
	if u.err == nil && (n != bodyFields || u.r.Len() > 0) {
		u.fail(errors.New("data after the last field"))
	}
	return b, errors.Wrap(u.err, "decode record body")
}

// envelope is the stored form of a record. Body holds the encoded body exactly as it
// was signed.
type envelope struct {
	Body        []byte
	AuthorSig   []byte
	Reviewer    string
	ReviewerSig []byte
}

// Record is a decoded record. It is immutable. Its signatures are not checked
// until Verify is called.
type Record struct {
	Body
	// Reviewer is the reviewer's key id; "" for a draft.
	Reviewer string

	env    envelope
	raw    []byte // as stored
	digest Digest // of raw
}

// NewDraft returns an encoded record that is signed by the author and not yet
// reviewed. It sets the Format and Author of b.
func NewDraft(b Body, author Key) ([]byte, error) {
	b.Format = Format
	b.Author = author.ID
	if err := b.validate(); err != nil {
		return nil, err
	}
	data, err := encodeBody(b)
	if err != nil {
		return nil, err
	}
	env := envelope{Body: data, AuthorSig: ed25519.Sign(author.Private, authorMessage(data))}
	return env.encode()
}

// Review returns a draft with the reviewer's signature added. The reviewer's key
// must have another id and another value than the author's.
func Review(draft []byte, authors map[string]ed25519.PublicKey, reviewer Key) ([]byte, error) {
	r, err := DecodeRecord(draft)
	if err != nil {
		return nil, err
	}
	if r.Reviewer != "" {
		return nil, errors.Errorf("already reviewed by %q", r.Reviewer)
	}
	trust := Trust{Authors: authors, Reviewers: map[string]ed25519.PublicKey{reviewer.ID: reviewer.Public()}}
	env := r.env
	env.Reviewer = reviewer.ID
	env.ReviewerSig = ed25519.Sign(reviewer.Private, reviewerMessage(env))
	signed, err := env.encode()
	if err != nil {
		return nil, err
	}
	out, err := DecodeRecord(signed)
	if err != nil {
		return nil, err
	}
	return signed, out.Verify(trust)
}

// DecodeRecord decodes a record or a draft without verifying its signatures. It
// accepts only the canonical encoding. If it accepted a second encoding of the
// same content, anybody could give a signed record another digest, which would
// no longer match the parent digest in the records that extend it.
func DecodeRecord(data []byte) (*Record, error) {
	if len(data) > MaxRecord {
		return nil, errors.Errorf("record of %d bytes exceeds %d", len(data), MaxRecord)
	}
	rest, ok := bytes.CutPrefix(data, []byte(recordMagic))
	if !ok {
		return nil, errors.New("not a bundle record")
	}
	r := &Record{raw: data, digest: sha256.Sum256(data)}
	if err := r.env.decode(rest); err != nil {
		return nil, err
	}
	reencoded, err := r.env.encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, data) {
		return nil, errors.New("record is not in its canonical encoding")
	}
	r.Reviewer = r.env.Reviewer
	r.Body, err = decodeBody(r.env.Body)
	return r, err
}

// Raw returns the record as stored. Callers must not change it.
func (r *Record) Raw() []byte { return r.raw }

// Digest returns the SHA-256 of the record as stored.
func (r *Record) Digest() Digest { return r.digest }

// Verify checks both signatures over the stored bytes, and then those rules of
// the body that need no parent. It returns ErrUnsupported only for a record whose
// signatures are valid.
func (r *Record) Verify(t Trust) error {
	author, ok := t.Authors[r.Author]
	if !ok {
		return errors.Errorf("author key %q is not trusted", r.Author)
	}
	if !ed25519.Verify(author, authorMessage(r.env.Body), r.env.AuthorSig) {
		return errors.New("the author's signature does not match")
	}
	if r.Reviewer == "" {
		return errors.New("not reviewed")
	}
	reviewer, ok := t.Reviewers[r.Reviewer]
	if !ok {
		return errors.Errorf("reviewer key %q is not trusted", r.Reviewer)
	}
	if r.Reviewer == r.Author || reviewer.Equal(author) {
		return errors.New("author and reviewer must use different keys")
	}
	if !ed25519.Verify(reviewer, reviewerMessage(r.env), r.env.ReviewerSig) {
		return errors.New("the reviewer's signature does not match")
	}
	return r.validate()
}

// validUnderOtherKeys reports whether the record passes all checks that do not
// depend on the trusted keys, so that it could be valid with other keys.
func (r *Record) validUnderOtherKeys() bool {
	err := r.validate()
	return r.Reviewer != "" && r.Reviewer != r.Author && (err == nil || errors.Is(err, ErrUnsupported))
}

// validate checks the rules of the body that need no parent.
func (b Body) validate() error {
	switch {
	case b.Format > Format:
		return errors.WithStack(ErrUnsupported)
	case b.Format != Format:
		return errors.Errorf("unknown record format %d", b.Format)
	case b.Number == 0 || b.ParentNumber != b.Number-1:
		return errors.Errorf("number %d does not follow parent %d", b.Number, b.ParentNumber)
	case b.Number == 1 && b.ParentDigest != Digest{}:
		return errors.New("the first version has no parent digest")
	case b.Number == 1 && b.Kind != KindSnapshot:
		return errors.New("the first version must be a snapshot")
	case b.Kind != KindSnapshot && b.Kind != KindDelta:
		return errors.Errorf("unknown kind %q", b.Kind)
	}
	return nil
}

// Content returns the validated Bundle of the record's version: the payload of a
// snapshot, or a delta applied to parent. parent may be nil for a snapshot.
func (r *Record) Content(parent *Bundle) (*Bundle, error) {
	if r.Kind == KindSnapshot {
		return DecodeBundle(r.Payload)
	}
	if parent == nil {
		return nil, errors.New("a delta needs its parent")
	}
	d, err := DecodeDelta(r.Payload)
	if err != nil {
		return nil, err
	}
	return Apply(parent, d)
}

func (e envelope) encode() ([]byte, error) {
	p := pack(recordMagic)
	p.arrayLen(envelopeFields)
	p.bytes(e.Body)
	p.bytes(e.AuthorSig)
	p.text(e.Reviewer)
	p.bytes(e.ReviewerSig)
	return p.finish()
}

func (e *envelope) decode(data []byte) error {
	u := unpack(data)
	if n := u.arrayLen(envelopeFields); u.err == nil && n != envelopeFields {
		return errors.Errorf("record with %d fields", n)
	}
	e.Body = u.bytes()
	e.AuthorSig = u.bytes()
	e.Reviewer = u.text()
	e.ReviewerSig = u.bytes()
	return errors.Wrap(u.err, "decode record")
}

// authorMessage returns the bytes that the author signs.
func authorMessage(body []byte) []byte { return append([]byte(authorDomain), body...) }

// reviewerMessage returns the bytes that the reviewer signs: the body, the
// author's signature and the reviewer's id, each preceded by its length, so that
// the boundaries between them are unambiguous.
func reviewerMessage(e envelope) []byte {
	out := []byte(reviewerDomain)
	for _, part := range [][]byte{e.Body, e.AuthorSig, []byte(e.Reviewer)} {
		out = binary.BigEndian.AppendUint64(out, uint64(len(part)))
		out = append(out, part...)
	}
	return out
}

// FormatDigest returns a digest in hex.
func FormatDigest(d Digest) string { return hex.EncodeToString(d[:]) }
