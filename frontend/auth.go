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

// teamIndex holds the index of the teams of one bundle. The first request that sees a new
// bundle builds it.
type teamIndex struct {
	current atomic.Pointer[teamsOf]
	mu      sync.Mutex // held while an index is built
}

type teamsOf struct {
	bundle *bundle.Bundle
	index  *teams.Index
}

// of returns the index of a bundle. Where two of its teams have a key in common it finds no
// team at all.
func (t *teamIndex) of(b *bundle.Bundle, logger log.Interface) *teams.Index {
	if known := t.current.Load(); known != nil && known.bundle == b {
		return known.index
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.current.Load(); known != nil && known.bundle == b {
		return known.index
	}
	index, err := teams.NewIndex(keysOf(b))
	if err != nil {
		logger.WithError(err).Error("no key is known: the bundle contradicts itself")
		index = &teams.Index{}
	}
	t.current.Store(&teamsOf{bundle: b, index: index})
	return index
}

func keysOf(b *bundle.Bundle) map[string][]teams.Digest {
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

// authenticate returns the team whose key the request carries.
func (s *Server) authenticate(b *bundle.Bundle, r *http.Request) (string, *errkind.Error) {
	return s.teams.of(b, s.opts.Logger).Find(r.Header)
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
