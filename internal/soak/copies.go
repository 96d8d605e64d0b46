package soak

import (
	"context"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// Rejecting says which upstreams reject requests while all send copies of their answers.
type Rejecting string

// The values of Rejecting. Replicas count within their role: plain service, prefill engines, decode engines.
const (
	RejectNone  Rejecting = ""
	RejectAll   Rejecting = "all"
	RejectOne   Rejecting = "one"   // the first replica
	RejectTurns Rejecting = "turns" // one replica after the other
)

// Copies are standing faults of all upstreams during a run: they send answers a second time, late, and some of them
// reject requests.
type Copies struct {
	// Share is the share of answers that are sent again, and Rejections the share of requests that Rejecting
	// upstreams reject.
	Share, Rejections float64
	Rejecting         Rejecting
}

// copiesTurn is how long a replica rejects requests with RejectTurns.
const copiesTurn = time.Second

// runCopies applies Options.Copies until ctx ends.
func (r *run) runCopies(ctx context.Context) {
	from := time.Now()
	for turn := 0; ctx.Err() == nil; turn++ {
		r.applyCopies(turn)
		select {
		case <-ctx.Done():
		case <-time.After(copiesTurn):
		}
	}
	for _, u := range r.upstreams() {
		u.SetStandingFaults(site.Faults{})
	}
	r.excuseCopies(from)
}

// excuseCopies excuses answers that were lost, since a time, because a copy came in their place.
func (r *run) excuseCopies(from time.Time) {
	if r.options.Copies.Share == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range slices.Concat(r.currentUpstreams, r.replaced) {
		r.excuses = append(r.excuses, excuse{from: from, to: time.Now(), upstream: u.Name})
	}
}

// applyCopies sets the standing faults of all upstreams in a turn.
func (r *run) applyCopies(turn int) {
	replicas := map[string][]*site.Upstream{}
	for _, u := range r.upstreams() {
		replicas[u.Role()] = append(replicas[u.Role()], u)
	}
	c := r.options.Copies
	for _, list := range replicas {
		for i, u := range list {
			rejections := 0.0
			if c.rejects(i, turn%len(list)) {
				rejections = c.Rejections
			}
			u.SetStandingFaults(site.RepeatedAnswers(c.Share, true, rejections))
		}
	}
}

// rejects reports whether the i-th replica rejects requests while it is the given one's turn.
func (c Copies) rejects(i, turn int) bool {
	switch c.Rejecting {
	case RejectAll:
		return true
	case RejectOne:
		return i == 0
	case RejectTurns:
		return i == turn
	default:
		return false
	}
}
