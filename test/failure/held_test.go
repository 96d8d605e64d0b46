package failure

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// engineTimeout bounds one look at an engine, which may stand still.
const engineTimeout = 2 * time.Second

// held returns what all running engines hold for the work that match selects.
func (r *rig) held(match func(engineapi.Held) bool) ([]engineapi.Held, error) {
	var out []engineapi.Held
	for _, pool := range []string{testbed.PoolPrefill, testbed.PoolDecode} {
		for _, u := range r.Pool(pool) {
			if !u.Running() {
				continue
			}
			list, err := r.heldOn(u)
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

func (r *rig) heldOn(u *testbed.Upstream) ([]engineapi.Held, error) {
	var list engineapi.HeldReply
	err := r.engineGet(u, engineapi.PathHeld, &list)
	return list.Held, err
}

// engineGet reads an engine's own state; an engine that stands still is an error.
func (r *rig) engineGet(u *testbed.Upstream, path string, out any) error {
	ctx, cancel := context.WithTimeout(r.ctx, engineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Listen+path, nil)
	if err != nil {
		return err
	}
	return getJSON(req, out)
}

// ownedBy selects the work of one life of a daemon.
func ownedBy(d *testbed.Daemon) func(engineapi.Held) bool {
	owner := engineapi.Owner{Instance: d.Instance, Incarnation: d.Incarnation}
	return func(h engineapi.Held) bool { return h.Owner == owner }
}

func anyone(engineapi.Held) bool { return true }

func kindOf(match func(engineapi.Held) bool, kind engineapi.HeldKind) func(engineapi.Held) bool {
	return func(h engineapi.Held) bool { return h.Kind == kind && match(h) }
}

// awaitHeld waits until engines hold something that match selects, for s.
func (s *stream) awaitHeld(match func(engineapi.Held) bool) engineapi.Held {
	r := s.r
	r.t.Helper()
	var first engineapi.Held
	r.eventually("engine memory is held", func() error {
		select {
		case <-s.done:
			r.t.Fatalf("the answer has ended: %s", s.got)
		default:
		}
		list, err := r.held(match)
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

// awaitFreed waits until engines hold nothing that match selects.
func (r *rig) awaitFreed(match func(engineapi.Held) bool) {
	r.t.Helper()
	r.eventually("engine memory is freed", func() error {
		list, err := r.held(match)
		if err == nil && len(list) > 0 {
			err = errors.Errorf("%d held, first %+v", len(list), list[0])
		}
		return err
	})
}
