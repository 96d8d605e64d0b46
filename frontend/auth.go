package frontend

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const bearer = "bearer "

type keyDigest [sha256.Size]byte

// teamIndex finds a team by the digest of its key. The index belongs to one
// bundle, is immutable, and is built by the first request that sees a new one.
type teamIndex struct {
	current atomic.Pointer[teamsOf]
	mu      sync.Mutex // held while an index is built
}

type teamsOf struct {
	bundle *bundle.Bundle
	teams  map[keyDigest]string
}

// lookup returns the team whose key has the digest in b.
func (t *teamIndex) lookup(b *bundle.Bundle, d keyDigest) (string, bool) {
	index := t.current.Load()
	if index == nil || index.bundle != b {
		index = t.build(b)
	}
	team, ok := index.teams[d]
	return team, ok
}

func (t *teamIndex) build(b *bundle.Bundle) *teamsOf {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index := t.current.Load(); index != nil && index.bundle == b {
		return index
	}
	index := &teamsOf{bundle: b, teams: make(map[keyDigest]string, len(b.Teams))}
	for name, team := range b.Teams {
		for _, text := range team.KeyDigests {
			raw, err := hex.DecodeString(text)
			if err == nil && len(raw) == sha256.Size {
				index.teams[keyDigest(raw)] = name
			}
		}
	}
	t.current.Store(index)
	return index
}

// authenticate returns the team whose key the request carries. Keys are never
// kept, compared or logged, only their digests.
func (s *Server) authenticate(b *bundle.Bundle, r *http.Request) (string, *errkind.Error) {
	value, err := single(r.Header, "Authorization")
	if err != nil {
		return "", err
	}
	if len(value) <= len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return "", errkind.New(errkind.Unauthorized, "send Authorization: Bearer and a key of the team")
	}
	key := strings.TrimSpace(value[len(bearer):])
	team, ok := s.teams.lookup(b, sha256.Sum256([]byte(key)))
	if !ok {
		return "", errkind.New(errkind.Unauthorized, "the key belongs to no team of the bundle in force")
	}
	return team, nil
}

// idSource makes request ids that no other daemon and no other life of this
// one makes.
type idSource struct {
	prefix  string
	counter *atomic.Uint64
}

const idBase = 36

func newIDSource(self wire.NodeID) idSource {
	return idSource{
		prefix:  self.Instance + "-" + strconv.FormatUint(self.Incarnation, idBase) + "-",
		counter: new(atomic.Uint64),
	}
}

func (i idSource) next() string {
	return i.prefix + strconv.FormatUint(i.counter.Add(1), idBase)
}
