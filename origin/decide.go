package origin

import (
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

// Outcome tells what is known about the origin of a stream.
type Outcome string

// The outcomes, as in logs and metrics.
const (
	// Recorded: a record names the version.
	Recorded Outcome = "recorded"
	// SoleVersion: the caller names no try that could have a record, but the service has had one
	// version for as long as a stream may last.
	SoleVersion Outcome = "sole-version"
	// Unknown: there is no record, and the service has, or may have had, several versions.
	Unknown Outcome = "unknown"
	// Conflicting: records contradict each other, as if two callers used one id.
	Conflicting Outcome = "conflicting"
	// Restarted: the upstream of the record may have started again, at another version, before
	// the stream began.
	Restarted Outcome = "restarted"
	// Moved: the route no longer leads to the service that began the stream.
	Moved Outcome = "moved"
	// Busy: too many streams are being looked up.
	Busy Outcome = "busy"
)

// Known reports whether the stream may go on.
func (o Outcome) Known() bool { return o == Recorded || o == SoleVersion }

// maxClockDifference is how far the clocks of daemons and upstreams may be apart when a record is
// compared with a restart.
const maxClockDifference = 500 * time.Millisecond

// Holds reports whether the version in a record is that of the upstream which generated the stream,
// given the upstream's registration as it is now, if it has one.
//
// A daemon takes the version from the registration that it has at the first event. An upstream that
// has started again under its name may have another version by then, which its registration tells
// a moment later.
func Holds(r Record, now fleet.Registration, registered bool) bool {
	if !registered || now.Version == r.Version {
		return true
	}
	if now.Born == 0 || now.Born == r.Born {
		return false // one run of a process has one version
	}
	return time.UnixMilli(now.Born).After(time.UnixMilli(r.BeganMillis).Add(maxClockDifference))
}

// evidence is what a daemon has found out about a stream.
type evidence struct {
	record      Record
	found       bool
	conflict    bool
	holds       bool // see Holds
	named       bool // the caller names the try that began the stream
	services    []string
	soleVersion string // of the only service of the route; empty if there is none
}

// decide returns the origin of a stream. Nothing is guessed. A caller that names the try which began
// the stream needs its record: registrations tell of an upstream's restart at another version only a
// moment later, or, while the store is away, much later.
func decide(e evidence) (service, version string, o Outcome) {
	switch {
	case e.conflict:
		return "", "", Conflicting
	case e.found && !e.holds:
		return "", "", Restarted
	case e.found:
		for _, s := range e.services {
			if s == e.record.Service {
				return s, e.record.Version, Recorded
			}
		}
		return "", "", Moved
	case !e.named && len(e.services) == 1 && e.soleVersion != "":
		return e.services[0], e.soleVersion, SoleVersion
	}
	return "", "", Unknown
}
