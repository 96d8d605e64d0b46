package admission

import (
	"time"

	"github.com/apex/log"
)

// The reasons for which messages are dropped.
const (
	DropIncarnation = "old-incarnation" // from an older process of the instance
	DropUnnamed     = "unnamed"         // the sender did not identify itself
	DropPool        = "unknown-pool"
	DropDuplicate   = "duplicate"
	DropRequest     = "unknown-request" // for a request that does not wait any more; not logged
	DropFull        = "full"            // the queue, or the daemon's part of it, is full
)

// Metrics receives counts. Implementations are safe for concurrent use and do not block.
type Metrics interface {
	// AdmissionWaiting sets the number of requests of a rank that wait at this coordinator.
	AdmissionWaiting(rank, n int)
	// AdmissionTurns counts turns by what became of them: room or search when they are given,
	// lapsed if no result came.
	AdmissionTurns(kind string, n uint64)
	// AdmissionReservations counts reservations that were asked for with a turn, by result: admitted
	// or refused.
	AdmissionReservations(result string, n uint64)
	// AdmissionDropped counts messages that were dropped, by reason.
	AdmissionDropped(reason string)
	// AdmissionCoordinatorLost counts connections to coordinators that were given up, by reason.
	AdmissionCoordinatorLost(reason string)
}

// dropLog counts dropped messages and logs them at most once a second.
type dropLog struct {
	metrics Metrics
	logger  log.Interface
	at      time.Time // of the last log line
	dropped int       // since then
}

// drop records a dropped message. The caller holds the lock of the dropLog's owner.
func (d *dropLog) drop(now time.Time, reason, instance, pool string) {
	d.metrics.AdmissionDropped(reason)
	if reason == DropRequest {
		return
	}
	d.dropped++
	if now.Sub(d.at) < time.Second {
		return
	}
	d.logger.WithFields(log.Fields{"reason": reason, "from": instance, "pool": pool, "count": d.dropped}).Warn("admission message dropped")
	d.at, d.dropped = now, 0
}
