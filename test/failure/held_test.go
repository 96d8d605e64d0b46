package failure

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// engineReadTimeout is the timeout of one request to an engine, which may be frozen.
const engineReadTimeout = 2 * time.Second

// heldMemory returns the memory on all running engines for which match returns true.
func (r *harness) heldMemory(match func(engineapi.Held) bool) ([]engineapi.Held, error) {
	var out []engineapi.Held
	for _, pool := range []string{testbed.PoolPrefill, testbed.PoolDecode} {
		for _, u := range r.PoolUpstreams(pool) {
			if !u.Running() {
				continue
			}
			list, err := r.heldOnEngine(u)
			if err != nil {
				return nil, err
			}
			for _, h := range list {
				if match(h) {
					out = append(out, h)
				}
			}
		}
	}
	return out, nil
}

// heldOnEngine returns all memory that an engine holds.
func (r *harness) heldOnEngine(u *testbed.Upstream) ([]engineapi.Held, error) {
	var list engineapi.HeldReply
	err := r.engineGet(u, engineapi.PathHeld, &list)
	return list.Held, err
}

// engineGet reads a path of an engine's API. It fails when the engine does not respond
// within engineReadTimeout.
func (r *harness) engineGet(u *testbed.Upstream, path string, out any) error {
	ctx, cancel := context.WithTimeout(r.ctx, engineReadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Listen+path, nil)
	if err != nil {
		return err
	}
	return getJSON(req, out)
}

// ownedBy matches the memory that the current incarnation of a daemon owns.
func ownedBy(d *testbed.Daemon) func(engineapi.Held) bool {
	owner := engineapi.Owner{Instance: d.Instance, Incarnation: d.Incarnation}
	return func(h engineapi.Held) bool { return h.Owner == owner }
}

// anyWork matches all memory.
func anyWork(engineapi.Held) bool { return true }

// ofKind matches memory of a kind that match also matches.
func ofKind(match func(engineapi.Held) bool, kind engineapi.HeldKind) func(engineapi.Held) bool {
	return func(h engineapi.Held) bool { return h.Kind == kind && match(h) }
}

// awaitHeld waits until engines hold memory for which match returns true, and returns
// the first piece. It fails the test when the answer of s ends first.
func (s *stream) awaitHeld(match func(engineapi.Held) bool) engineapi.Held {
	r := s.r
	r.t.Helper()
	var first engineapi.Held
	r.eventually("engines hold memory", func() error {
		select {
		case <-s.done:
			r.t.Fatalf("the answer ended before engines held memory: %s", s.reply)
		default:
		}
		list, err := r.heldMemory(match)
		if err == nil && len(list) == 0 {
			err = errors.New("nothing is held")
		}
		if err == nil {
			first = list[0]
		}
		return err
	})
	return first
}

// awaitFreed waits until engines hold no memory for which match returns true.
func (r *harness) awaitFreed(match func(engineapi.Held) bool) {
	r.t.Helper()
	r.eventually("engines have freed the memory", func() error {
		list, err := r.heldMemory(match)
		if err == nil && len(list) > 0 {
			err = errors.Errorf("%d pieces held, the first is %+v", len(list), list[0])
		}
		return err
	})
}
