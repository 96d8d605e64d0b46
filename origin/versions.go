package origin

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// versionCheckInterval is the interval at which new versions are looked for. An upstream takes about as
	// long to the first event of its first stream.
	versionCheckInterval = 50 * time.Millisecond
	// versionNoteInterval is the interval at which the versions in use are noted again.
	versionNoteInterval = 20 * time.Second
	// noteUpstream stands for the upstream's name in a note.
	noteUpstream = "*"
)

// versionNote returns the record that notes in the log that upstreams of a service have a version now. The log
// lacks the records of the last streams before the end of all daemons, which may be the only ones of a version.
func versionNote(v fleet.ServiceVersion, now time.Time) Record {
	return Record{
		ID: IDOf("\x00versions", v.Service+"\x00"+v.Version), Service: v.Service, Version: v.Version, Upstream: noteUpstream,
		BeganMillis: now.UnixMilli(), LifeMillis: versionNoteInterval.Milliseconds(),
	}
}

func (r Record) isVersionNote() bool { return r.Upstream == noteUpstream }

// logSpan is what the log says of the time that it covers.
type logSpan struct {
	// complete is set if nothing that was ever written is missing. oldest is the time of the oldest record.
	complete bool
	oldest   time.Time
	noted    map[versionKey]time.Time // when each version was last noted
}

// begin begins anew, before the first records are added.
func (s *logSpan) begin(complete bool) {
	*s = logSpan{complete: complete, noted: map[versionKey]time.Time{}}
}

// add adds a record of the log.
func (s *logSpan) add(r Record) {
	at := time.UnixMilli(r.BeganMillis)
	if s.oldest.IsZero() || at.Before(s.oldest) {
		s.oldest = at
	}
	if r.isVersionNote() && at.After(s.noted[r.key()]) {
		s.noted[r.key()] = at
	}
}

// provesSole reports whether the log covers the window and no other version of the service was in use in it.
func (s *logSpan) provesSole(now time.Time, service, version string, window time.Duration) bool {
	if !s.complete && (s.oldest.IsZero() || now.Sub(s.oldest) < window) {
		return false
	}
	for key, at := range s.noted {
		if key.service == service && key.version != version && now.Sub(at) < window+versionNoteInterval {
			return false
		}
	}
	return true
}

// noteVersions appends a note to the log for each version that is new, and for all at an interval, while this
// daemon writes the log.
func (k *Keeper) noteVersions(ctx context.Context) {
	noted := map[fleet.ServiceVersion]time.Time{}
	for clock.Sleep(ctx, versionCheckInterval) {
		if !k.writesLog() {
			continue
		}
		now := k.o.Now()
		due, list := dueNotes(noted, k.o.Versions.InUse(), now)
		if len(list) == 0 {
			continue
		}
		if err := k.history.append(ctx, list); err != nil {
			k.o.Logger.WithField("versions", len(list)).WithError(err).Warn("versions not noted, retrying")
			clock.Sleep(ctx, minRetryDelay)
			continue
		}
		for _, v := range due {
			noted[v] = now
		}
	}
}

// dueNotes returns the versions in use that must be noted, and the notes: all of them if one is new or an interval
// has passed. It forgets versions that are no longer in use.
func dueNotes(noted map[fleet.ServiceVersion]time.Time, inUse []fleet.ServiceVersion, now time.Time) (due []fleet.ServiceVersion, list []Record) {
	current := map[fleet.ServiceVersion]bool{}
	for _, v := range inUse {
		current[v] = true
		if at, ok := noted[v]; !ok || now.Sub(at) >= versionNoteInterval {
			due = append(due, v)
			list = append(list, versionNote(v, now))
		}
	}
	for v := range noted {
		if !current[v] {
			delete(noted, v)
		}
	}
	return due, list
}
