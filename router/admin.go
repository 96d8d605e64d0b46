package router

import (
	"time"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/request"
)

// maxListed is the largest number of requests that an answer of the administration API lists.
const maxListed = 1000

// BundleStatus implements admin.Source.
func (r *Router) BundleStatus() adminapi.BundleStatus {
	ready, _ := r.ready()
	out := adminapi.BundleStatus{
		DataCentre: r.settings.Instance.DataCentre,
		Instance:   r.self.Instance,
		Ready:      ready,
	}
	if v := r.watcher.Current(); v != nil {
		out.Number, out.Digest = v.Number, bundle.FormatDigest(v.Digest)
	}
	return out
}

// Requests implements admin.Source.
func (r *Router) Requests() adminapi.Requests {
	active := r.runner.Active()
	out := adminapi.Requests{
		Instance:   r.self.Instance,
		DataCentre: r.settings.Instance.DataCentre,
		Requests:   []adminapi.Request{}, // an empty list, not null
	}
	if len(active) > maxListed {
		out.Omitted = len(active) - maxListed
		active = active[:maxListed]
	}
	for _, a := range active {
		out.Requests = append(out.Requests, requestStatus(a))
	}
	return out
}

// requestStatus converts an active request to its form in the administration API.
func requestStatus(a request.Active) adminapi.Request {
	return adminapi.Request{
		ID:         a.ID,
		Team:       a.Team,
		Class:      string(a.Class),
		Target:     a.Target,
		Step:       a.State,
		Attempt:    a.Attempt,
		Upstream:   a.Upstream,
		Tokens:     a.Tokens,
		AgeMS:      a.Age.Milliseconds(),
		DeadlineMS: a.Left.Milliseconds(),
	}
}

// Upstreams implements admin.Source.
func (r *Router) Upstreams() adminapi.Upstreams {
	out := adminapi.Upstreams{
		Instance:   r.self.Instance,
		DataCentre: r.settings.Instance.DataCentre,
		Upstreams:  []adminapi.Upstream{},
	}
	if v := r.watcher.Current(); v != nil {
		out.BundleNumber = v.Number
	}
	var statuses []board.Status
	now := time.Now()
	r.holder.Update(func(b *board.Board) { statuses = b.Statuses(now) })
	view := r.peers.View()
	for _, s := range statuses {
		out.Upstreams = append(out.Upstreams, upstreamStatus(view, s))
	}
	return out
}

// upstreamStatus converts an upstream's state to its form in the administration API.
func upstreamStatus(view *members.View, s board.Status) adminapi.Upstream {
	out := adminapi.Upstream{
		Name:       s.Name,
		Pool:       s.Spec.Pool,
		DataCentre: s.Spec.DataCentre,
		Address:    s.Spec.Address,
		State:      string(s.Spec.State),
		Health:     string(s.Health),
		Active:     s.Active,
		Queued:     s.Queued,
		Slots:      s.Slots,
		LoadAgeMS:  -1,
		Steward:    view.Steward(s.Name, s.Spec.DataCentre).Instance,
	}
	if s.LoadSource != board.LoadUnknown {
		out.LoadAgeMS = s.LoadAge.Milliseconds()
	}
	if s.Leaving {
		out.Leaving = s.Source.String()
	}
	return out
}

// Members implements admin.Source.
func (r *Router) Members() adminapi.Members {
	out := adminapi.Members{Instance: r.self.Instance, DataCentre: r.settings.Instance.DataCentre}
	for _, m := range r.peers.View().Live() {
		out.Members = append(out.Members, adminapi.Member{
			Instance:    m.Node.Instance,
			Incarnation: m.Node.Incarnation,
			DataCentre:  m.DataCentre,
			Address:     m.Address,
			Liveness:    m.Liveness.String(),
			Draining:    m.Draining,
		})
	}
	return out
}

// StartDrain implements admin.Source.
func (r *Router) StartDrain() adminapi.DrainResponse {
	r.drainOnce.Do(func() { close(r.drainRequested) })
	return adminapi.DrainResponse{Instance: r.self.Instance, InFlight: r.frontend.InFlight()}
}
