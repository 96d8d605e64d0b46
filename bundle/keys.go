package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"

	"github.com/pkg/errors"
)

// Key is an author's or reviewer's private key. ID names its public key in Trust.
type Key struct {
	ID      string
	Private ed25519.PrivateKey
}

// Trust holds the trusted public keys by key id. All daemons must have a new key
// before the first record signed with it is published: daemons with different
// keys would choose different winners when two records extend the same parent.
type Trust struct {
	Authors   map[string]ed25519.PublicKey
	Reviewers map[string]ed25519.PublicKey
}

// ErrUntrusted is returned for a log record whose signatures do not verify with the
// current keys, but may have verified with earlier ones. The log cannot be
// evaluated from that record on.
var ErrUntrusted = errors.New("signed by keys that are not trusted")

// untrustedError is an ErrUntrusted with the record's offset and its verification error.
type untrustedError struct {
	offset uint64 // on the log
	cause  error
}

// Error implements error.
func (e *untrustedError) Error() string {
	return fmt.Sprintf("the record at offset %d may have been in force by a key that was taken out: %v", e.offset, e.cause)
}

// Unwrap returns ErrUntrusted, so that errors.Is matches it.
func (e *untrustedError) Unwrap() error { return ErrUntrusted }

// CheckAuthor returns an error unless k is the trusted author key with its id.
func (t Trust) CheckAuthor(k Key) error { return checkKey(t.Authors, "author", k) }

// CheckReviewer returns an error unless k is the trusted reviewer key with its id.
func (t Trust) CheckReviewer(k Key) error { return checkKey(t.Reviewers, "reviewer", k) }

// checkKey returns an error unless keys maps the id of k to its public key.
func checkKey(keys map[string]ed25519.PublicKey, role string, k Key) error {
	public, ok := keys[k.ID]
	switch {
	case !ok:
		return errors.Errorf("%s key %q is not trusted", role, k.ID)
	case !public.Equal(k.Public()):
		return errors.Errorf("%s key %q is another one than the trusted key of that id", role, k.ID)
	}
	return nil
}

// TrustConfig is the form of Trust in settings files: it maps key ids to public
// keys in base64.
type TrustConfig struct {
	Authors   map[string]string `json:"authors" yaml:"authors"`
	Reviewers map[string]string `json:"reviewers" yaml:"reviewers"`
}

// The PEM block type of a private key file and its header with the key id.
const (
	pemPrivate = "PRIVATE KEY"
	pemKeyID   = "Key-Id"
)

// Trust decodes the public keys. Its errors name the field and the key id, and
// contain no key material.
func (c TrustConfig) Trust() (Trust, error) {
	authors, err := decodeKeys("authors", c.Authors)
	if err != nil {
		return Trust{}, err
	}
	reviewers, err := decodeKeys("reviewers", c.Reviewers)
	if err != nil {
		return Trust{}, err
	}
	return Trust{Authors: authors, Reviewers: reviewers}, nil
}

// decodeKeys decodes the public keys of a settings field; at least one is required.
func decodeKeys(field string, in map[string]string) (map[string]ed25519.PublicKey, error) {
	if len(in) == 0 {
		return nil, errors.Errorf("%s: at least one key is needed", field)
	}
	out := make(map[string]ed25519.PublicKey, len(in))
	for id, text := range in {
		if !nameOK(id) {
			return nil, errors.Errorf("%s: %q is not a key id", field, id)
		}
		key, err := ParsePublicKey(text)
		if err != nil {
			return nil, errors.Wrapf(err, "%s.%s", field, id)
		}
		out[id] = key
	}
	return out, nil
}

// ParsePublicKey decodes an ed25519 public key from base64.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.New("not base64")
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, errors.Errorf("want a public key of %d bytes, got %d", ed25519.PublicKeySize, len(key))
	}
	return key, nil
}

// FormatPublicKey encodes a public key in base64, as settings files contain it.
func FormatPublicKey(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// GenerateKey returns a new key from the system's secure random source.
func GenerateKey(id string) (Key, error) {
	if !nameOK(id) {
		return Key{}, errors.Errorf("%q is not a key id: %s", id, nameRule)
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	return Key{ID: id, Private: private}, errors.WithStack(err)
}

// Public returns the public key that belongs to the private key.
func (k Key) Public() ed25519.PublicKey {
	public, _ := k.Private.Public().(ed25519.PublicKey)
	return public
}

// MarshalKey encodes a private key as PEM (PKCS #8) with its id in a header.
func MarshalKey(k Key) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k.Private)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	block := &pem.Block{Type: pemPrivate, Headers: map[string]string{pemKeyID: k.ID}, Bytes: der}
	return pem.EncodeToMemory(block), nil
}

// ParseKey decodes the output of MarshalKey. Its errors contain no key material.
func ParseKey(data []byte) (Key, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemPrivate {
		return Key{}, errors.New("not a PEM private key")
	}
	id := block.Headers[pemKeyID]
	if !nameOK(id) {
		return Key{}, errors.Errorf("the %s header is missing or wrong", pemKeyID)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return Key{}, errors.New("not a PKCS #8 key")
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return Key{}, errors.New("not an ed25519 key")
	}
	return Key{ID: id, Private: private}, nil
}
