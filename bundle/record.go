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

// Format is the version of the record's body and of the rules in Validate and
// Apply. Any change that makes a record valid which was not, or the reverse,
// needs a new number: two releases that judge a record differently would
// choose different winners of a race.
const Format = 1

// MaxRecord bounds an encoded record, in bytes, so that it fits one peer frame.
const MaxRecord = 3 << 20

// Digest is the SHA-256 of a signed record. It names a version for good.
type Digest = [sha256.Size]byte

// Kind says what a record's payload is.
type Kind string

// The kinds of record.
const (
	KindSnapshot Kind = "snapshot" // the payload is a whole Bundle in JSON
	KindDelta    Kind = "delta"    // the payload is a Delta in JSON
)

// ErrUnsupported says that a record is of a later format than this release knows.
var ErrUnsupported = errors.New("the record's format is newer than this release")

// recordMagic opens an encoded record and tells it from a checkpoint.
const recordMagic = "CTB1"

// Domain separation: a signature of one role never passes for the other's.
const (
	authorDomain   = "corianderturn bundle author 1\n"
	reviewerDomain = "corianderturn bundle reviewer 1\n"
)

// Body is what the author signs. It is stored as a msgpack list in the order of
// the fields. Later formats keep the fields up to Author and may add others at
// the end, so that this release can tell a properly signed record of theirs.
type Body struct {
	Format uint8
	// Number is the version's number: its parent's plus one.
	Number       uint64
	ParentNumber uint64
	ParentDigest Digest
	// Author is the author's key id.
	Author  string
	Kind    Kind
	Payload []byte
	// CreatedAtMS is the author's clock, in milliseconds since the epoch. It is
	// informational: nothing is decided by it.
	CreatedAtMS int64
}

const (
	// bodyFields is how many fields a body of this format has.
	bodyFields = 8
	// maxBodyFields bounds those of later formats.
	maxBodyFields = 64
	// envelopeFields is how many fields an envelope has.
	envelopeFields = 4
)

func encodeBody(b Body) ([]byte, error) {
	p := pack("")
	p.list(bodyFields)
	p.uint(uint64(b.Format))
	p.uint(b.Number)
	p.uint(b.ParentNumber)
	p.bytes(b.ParentDigest[:])
	p.text(b.Author)
	p.text(string(b.Kind))
	p.bytes(b.Payload)
	p.int(b.CreatedAtMS)
	return p.done()
}

func decodeBody(data []byte) (Body, error) {
	var b Body
	u := unpack(data)
	n := u.list(maxBodyFields)
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
		u.fail(errors.New("data after the end"))
	}
	return b, errors.Wrap(u.err, "decode record body")
}

// envelope is the stored form. Body is kept as the bytes that were signed.
type envelope struct {
	Body        []byte
	AuthorSig   []byte
	Reviewer    string
	ReviewerSig []byte
}

// Record is a decoded record. It is immutable; its signatures count only after Verify.
type Record struct {
	Body
	// Reviewer is the reviewer's key id; "" for a draft.
	Reviewer string

	env    envelope
	raw    []byte
	digest Digest
}

// NewDraft returns an encoded record that the author has signed and nobody has reviewed.
func NewDraft(b Body, author Key) ([]byte, error) {
	b.Format = Format
	b.Author = author.ID
	if err := b.check(); err != nil {
		return nil, err
	}
	data, err := encodeBody(b)
	if err != nil {
		return nil, err
	}
	env := envelope{Body: data, AuthorSig: ed25519.Sign(author.Private, authorMessage(data))}
	return env.encode()
}

// Review returns a draft with the reviewer's signature added. The reviewer's
// key must differ from the author's in id and in value.
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

// DecodeRecord decodes a record or a draft without looking at its signatures.
// The bytes must be the one encoding of their content: were a second encoding
// taken, anybody could give a signed record another digest, and its children
// would no longer name it.
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
	again, err := r.env.encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(again, data) {
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

// Verify checks both signatures over the stored bytes, and then the body's own rules.
// ErrUnsupported is returned only for a record whose signatures hold.
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
	return r.check()
}

// onlyKeysDecide reports whether the record could be valid under other keys.
func (r *Record) onlyKeysDecide() bool {
	err := r.check()
	return r.Reviewer != "" && r.Reviewer != r.Author && (err == nil || errors.Is(err, ErrUnsupported))
}

// check applies the rules of the body that need no parent.
func (b Body) check() error {
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

// Content returns the Bundle that the record makes of its parent's. parent may
// be nil for a snapshot. The result is validated.
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
	p.list(envelopeFields)
	p.bytes(e.Body)
	p.bytes(e.AuthorSig)
	p.text(e.Reviewer)
	p.bytes(e.ReviewerSig)
	return p.done()
}

func (e *envelope) decode(data []byte) error {
	u := unpack(data)
	if n := u.list(envelopeFields); u.err == nil && n != envelopeFields {
		return errors.Errorf("record with %d fields", n)
	}
	e.Body = u.bytes()
	e.AuthorSig = u.bytes()
	e.Reviewer = u.text()
	e.ReviewerSig = u.bytes()
	return errors.Wrap(u.err, "decode record")
}

func authorMessage(body []byte) []byte { return append([]byte(authorDomain), body...) }

// reviewerMessage covers the content, the author's signature and the
// reviewer's id. Lengths keep the parts apart.
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
