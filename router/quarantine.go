package router

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/quarantine"
)

// newQuarantineKeeper returns a keeper with the options that are the same for Router and
// Attached filled in.
func newQuarantineKeeper(o quarantine.Options, m *telemetry.Instruments, logger log.Interface) *quarantine.Keeper {
	o.Dial, o.Logger, o.Now = quarantine.DialTCP, logger, time.Now
	o.OnProbe = func(s quarantine.ProbeResult) { m.UpstreamProbe(s.String()) }
	o.OnCountChanged = m.SetQuarantineRequests
	return quarantine.NewKeeper(o)
}

// readsQuarantineLog reports whether this daemon reads the quarantine log itself: it does
// if it reads the store without a relay, or is the one that reads the store for others.
func (a *Attached) readsQuarantineLog() bool { return a.feeds == nil || a.feeds.ReadsForOthers() }
