package frontend

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/teams"
)

// teamIndexCache caches the team index of the latest bundle. The first request after a
// change of the bundle builds the new index.
type teamIndexCache struct {
	current atomic.Pointer[bundleIndex]
	mu      sync.Mutex // serializes the building of an index
}

// bundleIndex is a bundle with the index that was built from it.
type bundleIndex struct {
	bundle *bundle.Bundle
	index  *teams.Index
}

// indexFor returns the index of b's teams. If two teams have a key in common, the index is
// empty: the keys of all teams are rejected.
func (t *teamIndexCache) indexFor(b *bundle.Bundle, logger log.Interface) *teams.Index {
	if cached := t.current.Load(); cached != nil && cached.bundle == b {
		return cached.index
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if cached := t.current.Load(); cached != nil && cached.bundle == b {
		return cached.index
	}
	index, err := teams.NewIndex(keyDigestsByTeam(b))
	if err != nil {
		logger.WithError(err).Error("all team keys rejected: two teams of the bundle have a key in common")
		index = &teams.Index{}
	}
	t.current.Store(&bundleIndex{bundle: b, index: index})
	return index
}

// keyDigestsByTeam decodes the key digests of each team of b and skips malformed ones.
func keyDigestsByTeam(b *bundle.Bundle) map[string][]teams.Digest {
	out := make(map[string][]teams.Digest, len(b.Teams))
	for name, team := range b.Teams {
		for _, text := range team.KeyDigests {
			raw, err := hex.DecodeString(text)
			if err == nil && len(raw) == len(teams.Digest{}) {
				out[name] = append(out[name], teams.Digest(raw))
			}
		}
	}
	return out
}

// authenticate returns the team that owns the key in the request's headers.
func (s *Server) authenticate(b *bundle.Bundle, r *http.Request) (string, *errkind.Error) {
	return s.teams.indexFor(b, s.opts.Logger).Find(r.Header)
}

// requestIDGenerator generates request ids of the form INSTANCE-INCARNATION-COUNTER. They
// are unique across daemons and across restarts of one daemon.
type requestIDGenerator struct {
	prefix  string
	counter *atomic.Uint64
}

// requestIDRadix is the base in which ids hold the incarnation and the counter.
const requestIDRadix = 36

func newRequestIDGenerator(self wire.NodeID) requestIDGenerator {
	return requestIDGenerator{
		prefix:  self.Instance + "-" + strconv.FormatUint(self.Incarnation, requestIDRadix) + "-",
		counter: new(atomic.Uint64),
	}
}

func (i requestIDGenerator) next() string {
	return i.prefix + strconv.FormatUint(i.counter.Add(1), requestIDRadix)
}
