package router

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/quarantine"
)

// newQuarantineKeeper returns a quarantine keeper. It adds to o the options that are the same
// for Router and Attached. recheckQueued is called when a part of prompts is quarantined.
func newQuarantineKeeper(o quarantine.Options, m *telemetry.Instruments, recheckQueued func(), logger log.Interface) *quarantine.Keeper {
	o.Logger, o.Now = logger, time.Now
	o.OnProbe = func(s quarantine.ProbeResult) { m.UpstreamProbe(s.String()) }
	o.OnVerdict = func(quarantined bool) {
		m.PartVerdict(quarantined)
		if quarantined {
			recheckQueued()
		}
	}
	o.OnCountChanged = m.SetQuarantineRequests
	return quarantine.NewKeeper(o)
}

// readsQuarantineLog reports whether this daemon reads the quarantine log itself: it does
// if there is no relay, or if this daemon provides others with what it reads from the store.
func (a *Attached) readsQuarantineLog() bool { return a.feeds == nil || a.feeds.ReadsForOthers() }
