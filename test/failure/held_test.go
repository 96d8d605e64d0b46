package failure

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// heldTimeout bounds one look at an engine, which may stand still.
const heldTimeout = 2 * time.Second

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
	ctx, cancel := context.WithTimeout(r.ctx, heldTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Listen+engineapi.PathHeld, nil)
	if err != nil {
		return nil, err
	}
	var list engineapi.HeldReply
	err = getJSON(req, &list)
	return list.Held, err
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
