package router

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/quarantine"
)

// newQuarantine returns a keeper with what is the same at both edges.
func newQuarantine(o quarantine.Options, m *telemetry.Instruments, logger log.Interface) *quarantine.Keeper {
	o.Dial, o.Logger, o.Now = quarantine.DialTCP, logger, time.Now
	o.Seen = func(s quarantine.Sign) { m.UpstreamLook(s.String()) }
	o.Changed = m.QuarantineRequests
	return quarantine.NewKeeper(o)
}

// readsQuarantine says whether this daemon reads the log of the quarantine itself: one that
// asks the store for its feeds does, for others or for good.
func (a *Attached) readsQuarantine() bool { return a.feeds == nil || a.feeds.Provides() }
