package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/origin"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
)

// originMargin is how much longer than its deadline the origin of a stream is kept: callers take
// streams up within the time that they have left, and clocks differ.
const originMargin = 5 * time.Second

// provisionOrigins creates what knows at which software versions streams began.
func (a *Attached) provisionOrigins() {
	var isReader func() bool
	if a.roster != nil {
		isReader = a.roster.IsReader
	}
	a.originLog = newDurableLog(a, platform.NewOriginTopic(a.store), "origins", isReader)
	o := origin.Options{
		Log: a.originLog, Versions: serviceVersions{a}, Logger: a.logger, Now: time.Now,
		OnTakenUp: func(outcome origin.Outcome) { a.metrics.StreamTakenUp(string(outcome)) },
	}
	if a.roster != nil {
		o.Peers = relay.NewOrigins(relay.OriginsOptions{Roster: a.roster, Dial: relay.DialTCP, Logger: a.logger, Now: time.Now})
		o.WritesLog, o.ReadsLog = isReader, a.readsOriginLog
	}
	a.origins = origin.NewKeeper(o)
}

// readsOriginLog reports whether this daemon reads the log of origins for a record that it lacks.
// In a small fleet all do, as they read the rest of the store.
func (a *Attached) readsOriginLog() bool {
	return a.roster.IsReader() || a.roster.IsSmall(time.Now())
}

// serviceVersions is an origin.Versions. The watcher is created after the relay, which needs the
// origins.
type serviceVersions struct{ a *Attached }

// SoleVersion implements origin.Versions.
func (v serviceVersions) SoleVersion(service string, window time.Duration) fleet.SoleVersion {
	return v.a.watcher.SoleVersion(service, window)
}

// ReadAhead implements origin.Versions. It reads the store itself, as what other daemons relay is older.
func (v serviceVersions) ReadAhead(ctx context.Context) ([]fleet.ServiceVersion, error) {
	return v.a.watcher.ReadAhead(ctx, v.a.store)
}

// Registration implements origin.Versions.
func (v serviceVersions) Registration(name string) (fleet.Registration, bool) {
	return v.a.watcher.Registration(name)
}

// InUse implements origin.Versions.
func (v serviceVersions) InUse() []fleet.ServiceVersion { return v.a.watcher.VersionsInUse() }

// streamOrigins is a request.Origins.
type streamOrigins struct{ a *Attached }

// Begun implements request.Origins.
func (s streamOrigins) Begun(c *request.Completion, o request.Origin) {
	s.a.origins.Add(origin.Record{
		ID: origin.IDOf(c.CallerTeam, c.ID), Service: o.Service, Version: o.Version, Upstream: o.Upstream, Born: o.Incarnation,
		BeganMillis: o.Began.UnixMilli(), LifeMillis: (time.Until(c.Deadline) + originMargin).Milliseconds(),
	})
}

// Holds implements request.Origins.
func (s streamOrigins) Holds(o request.Origin) bool {
	reg, registered := s.a.watcher.Registration(o.Upstream)
	return origin.Holds(origin.Record{Version: o.Version, Born: o.Incarnation, BeganMillis: o.Began.UnixMilli()}, reg, registered)
}

// Confirm implements request.Origins.
func (s streamOrigins) Confirm(ctx context.Context, o request.Origin) bool {
	reg, registered := s.a.watcher.Registration(o.Upstream)
	if !registered || o.Incarnation == 0 {
		return true
	}
	born, err := s.incarnation(ctx, reg)
	if err != nil {
		s.a.logger.WithField("upstream", o.Upstream).WithError(err).Debug("origin of a stream not confirmed")
		return true
	}
	reg.Version, reg.Born = "", born
	return born == o.Incarnation || origin.Holds(origin.Record{Version: o.Version, Born: o.Incarnation, BeganMillis: o.Began.UnixMilli()}, reg, true)
}

// confirmRetryDelay is the pause between two calls that ask an upstream for its incarnation.
const confirmRetryDelay = 10 * time.Millisecond

// incarnation asks an upstream for its incarnation until it answers or ctx ends. One that is starting
// again answers a moment later, and the stream may be from a run of it that no registration told of.
func (s streamOrigins) incarnation(ctx context.Context, reg fleet.Registration) (int64, error) {
	for {
		born, err := s.a.engines.Incarnation(ctx, reg.Address, reg.Name)
		if err == nil || upstream.IsWithheld(err) || !clock.Sleep(ctx, confirmRetryDelay) {
			return born, err
		}
	}
}

// findOrigin returns where the stream began that a request takes up. If that is not known, or the
// route no longer leads there, it returns an error.
func (a *Attached) findOrigin(ctx context.Context, c request.Completion, route fleet.Route) (request.Origin, *errkind.Error) {
	take := origin.TakeUp{
		Request: c.ID, Team: c.CallerTeam, Resumes: c.Resumes, LastEvent: c.Original.FirstIndex, Window: route.Timeout + originMargin,
	}
	for _, t := range route.Targets {
		take.Services = append(take.Services, t.Service)
	}
	f := a.origins.Find(ctx, take)
	switch {
	case f.Outcome.Known():
		return request.Origin{
			Service: f.Service, Version: f.Version, Upstream: f.Record.Upstream, Incarnation: f.Record.Born, Began: time.UnixMilli(f.Record.BeganMillis),
		}, nil
	case f.Outcome == origin.Moved:
		return request.Origin{}, errkind.New(errkind.VersionUnavailable, "the route no longer leads to the service that began the stream")
	}
	return request.Origin{}, errkind.New(errkind.OriginUnknown, string(f.Outcome)).WithRetryAfter(originRetryAfter())
}

// originRetryAfter returns when a caller may try again whose stream is not known here. Another
// daemon may know it, or this one in a moment, if it has just started. The jitter spreads the
// callers of a daemon that has ended.
func originRetryAfter() time.Duration {
	const least, jitter = 300 * time.Millisecond, 700 * time.Millisecond
	return least + rand.N(jitter)
}
