// Package teams identifies the team of a request by its API key. Both HTTP interfaces for callers
// use it: that of package frontend and that of package platform.
//
// Teams are looked up by the digest of the key. The key itself is never stored, compared, logged
// or forwarded.
package teams

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Index maps the digests of API keys to the names of their teams. It is immutable.
type Index struct{ teamByDigest map[Digest]string }

// NewIndex returns the index of the key digests of each team. It fails if two teams share a key.
func NewIndex(keys map[string][]Digest) (*Index, error) {
	i := &Index{teamByDigest: make(map[Digest]string, len(keys))}
	for team, digests := range keys {
		for _, d := range digests {
			if other, exists := i.teamByDigest[d]; exists && other != team {
				return nil, errors.Errorf("teams %s and %s have a key in common", min(team, other), max(team, other))
			}
			i.teamByDigest[d] = team
		}
	}
	return i, nil
}

// Find returns the name of the team whose API key is in a request's header.
func (i *Index) Find(h http.Header) (string, *errkind.Error) {
	key, err := bearerKey(h)
	if err != nil {
		return "", err
	}
	team, ok := i.teamByDigest[DigestOf(key)]
	if !ok {
		return "", errkind.New(errkind.Unauthorized, "the key belongs to no team of the version in force")
	}
	return team, nil
}

const (
	// Header is the name of the header in which callers send their API key.
	Header       = "Authorization"
	bearerPrefix = "bearer "
)

// bearerKey returns the key from the Authorization header, which must use the Bearer scheme.
func bearerKey(h http.Header) (string, *errkind.Error) {
	values := h.Values(Header)
	if len(values) > 1 {
		return "", errkind.New(errkind.BadRequest, "the header "+Header+" is sent twice")
	}
	if len(values) == 0 || len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return "", errkind.New(errkind.Unauthorized, "send "+Header+": Bearer and a key of the team")
	}
	return strings.TrimSpace(values[0][len(bearerPrefix):]), nil
}
