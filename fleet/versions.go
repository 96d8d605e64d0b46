package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxVersions bounds the versions of one service whose history is kept. A service with more is
	// taken for one that always has several.
	maxVersions = 32
	// versionMemory is how long versions without upstreams are remembered.
	versionMemory = 15 * time.Minute
)

// SoleVersion is the only software version that the upstreams of a service had within a time.
type SoleVersion struct {
	// Version is empty if there were several versions, which Several tells, or if it is not known.
	Version string
	Several bool
	// Watched is set if the registrations were watched for the whole time.
	Watched bool
}

// ServiceVersion is a software version of the upstreams of a service.
type ServiceVersion struct{ Service, Version string }

// versionHistory remembers until when the upstreams of each service had each version.
type versionHistory struct {
	since    time.Time // from then on nothing was missed
	services map[string]map[string]*versionSpan
}

// versionSpan counts the upstreams of one version. seen is when there last were any.
type versionSpan struct {
	upstreams int
	seen      time.Time
	changed   bool // upstreams came or went since the last call of settle
}

// add counts an upstream that has come (1) or gone (-1).
func (h *versionHistory) add(reg *Registration, delta int) {
	spans := h.services[reg.Service]
	if spans == nil {
		spans = map[string]*versionSpan{}
		h.services[reg.Service] = spans
	}
	span := spans[reg.Version]
	if span == nil {
		span = &versionSpan{}
		spans[reg.Version] = span
	}
	span.upstreams += delta
	span.changed = true
}

// settle notes the time of the changes since the last call, and forgets old versions.
func (h *versionHistory) settle(now time.Time) {
	for service, spans := range h.services {
		for version, span := range spans {
			switch {
			case span.changed:
				span.seen, span.changed = now, false
			case span.upstreams == 0 && (now.Sub(span.seen) > versionMemory || len(spans) > 2*maxVersions):
				delete(spans, version)
			}
		}
		if len(spans) == 0 {
			delete(h.services, service)
		}
	}
}

// sole returns the only version that a service has had within the window.
func (h *versionHistory) sole(now time.Time, service string, window time.Duration) (out SoleVersion) {
	spans := h.services[service]
	if len(spans) > maxVersions {
		return SoleVersion{Several: true}
	}
	for version, span := range spans {
		if span.upstreams == 0 && now.Sub(span.seen) > window {
			continue
		}
		if out.Version != "" {
			return SoleVersion{Several: true}
		}
		out.Version = version
	}
	out.Watched = out.Version != "" && now.Sub(h.since) >= window
	return out
}

// inUse returns the versions that have upstreams.
func (h *versionHistory) inUse() (out []ServiceVersion) {
	for service, spans := range h.services {
		for version, span := range spans {
			if span.upstreams > 0 {
				out = append(out, ServiceVersion{service, version})
			}
		}
	}
	return out
}

// SoleVersion returns the only software version that the upstreams of a service had within the
// window. Registrations that have not been read for longer than maxAge are out of date.
func (r *Registry) SoleVersion(now time.Time, service string, window, maxAge time.Duration) SoleVersion {
	out := r.versions.sole(now, service, window)
	if out.Version != "" && r.restoration.holdsOther(service, out.Version) {
		return SoleVersion{Several: true}
	}
	if !out.Several && now.Sub(r.readAt) > maxAge {
		return SoleVersion{}
	}
	return out
}

// recordGap begins the history of versions anew if registrations that came and went since the last read may be
// missing, as in a snapshot.
func (r *Registry) recordGap(readAt time.Time, snapshot bool) {
	if r.versions.since.IsZero() || snapshot {
		r.versions.since = readAt
	}
}

// SoleVersion returns the only software version that the upstreams of a service had within the
// window, as far as this daemon knows.
func (w *Watcher) SoleVersion(service string, window time.Duration) SoleVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registry.SoleVersion(w.options.Now(), service, window, w.options.MaxAge)
}

// maxReadsAhead bounds the reads of one ReadAhead, each of up to a megabyte.
const maxReadsAhead = 8

// errReadAhead means that the store's newest registrations are not known to follow those of this daemon.
var errReadAhead = errors.New("the registrations of the store do not follow those known here")

// ReadAhead reads the registrations from a store that it has after those which this daemon has applied, and returns
// their versions.
func (w *Watcher) ReadAhead(ctx context.Context, s Store) (out []ServiceVersion, err error) {
	at := w.positionOf(FeedUpstreams)
	if !w.hasLoaded(FeedUpstreams) {
		return nil, errReadAhead
	}
	for range maxReadsAhead {
		b, err := s.Read(ctx, FeedUpstreams, at, 0)
		if err != nil {
			return nil, err
		}
		if b.Whole || b.Epoch != at.Epoch {
			return nil, errReadAhead
		}
		if b.End() == at {
			return out, nil
		}
		for _, c := range b.Changes {
			if c.Put != nil {
				out = append(out, ServiceVersion{c.Put.Service, c.Put.Version})
			}
		}
		at = b.End()
	}
	return nil, errReadAhead
}

func (w *Watcher) hasLoaded(f Feed) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded[f]
}

// VersionsInUse returns the software versions that upstreams have now, as far as this daemon knows.
func (w *Watcher) VersionsInUse() []ServiceVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registry.versions.inUse()
}
