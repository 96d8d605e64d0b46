package telemetry

import (
	"context"
	"strconv"
)

// maxRankLabel is the largest rank with a label of its own.
const maxRankLabel = 9

// AdmissionWaiting sets the number of requests of a rank that wait for a turn.
func (in *Instruments) AdmissionWaiting(rank, n int) {
	label := "other"
	if rank >= 0 && rank <= maxRankLabel {
		label = strconv.Itoa(rank)
	}
	in.admissionWaiting.Record(context.Background(), int64(n), labelOption(labelRank, label))
}

// AdmissionTurns counts turns by kind.
func (in *Instruments) AdmissionTurns(kind string, n uint64) {
	if n > 0 {
		in.admissionTurns.Add(context.Background(), int64(n), labelOption(labelKind, kind))
	}
}

// AdmissionReservations counts reservations that were asked for with a turn, by result.
func (in *Instruments) AdmissionReservations(result string, n uint64) {
	if n > 0 {
		in.admissionReserved.Add(context.Background(), int64(n), labelOption(labelResult, result))
	}
}

// AdmissionDropped counts messages that were dropped, by reason.
func (in *Instruments) AdmissionDropped(reason string) {
	in.admissionDropped.Add(context.Background(), 1, labelOption(labelReason, reason))
}

// AdmissionCoordinatorLost counts connections to coordinators that were given up, by reason.
func (in *Instruments) AdmissionCoordinatorLost(reason string) {
	in.admissionLost.Add(context.Background(), 1, labelOption(labelReason, reason))
}
