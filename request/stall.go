package request

import "github.com/apex/log"

// The reasons in the log lines of stalls.
const (
	stallGivenUp = "given-up" // the call is ended before the next attempt is planned
)

// logStall logs what becomes of a call that has been silent. The lines of the plans and calls that
// follow have the same request and later attempts.
func (d *driver) logStall(a Action) {
	d.r.o.Logger.WithFields(log.Fields{
		"request": d.c.ID, "class": d.c.Class, "attempt": d.m.Attempt(), "upstream": a.Target.Name,
		"version": d.decodeReplica.Version, "from": d.eventsHeld(), "silent_ms": a.Silent.Milliseconds(),
		"reason": a.Reason, "bundle": d.bundleNumber,
	}).Info("stall")
}
