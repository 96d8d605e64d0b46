package failure

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/claims"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
)

// Guards against an order that is executed twice and a version that is taken back, because the log was
// restored from a copy without their records and has the records of others at the same offsets.
func TestRestoredLog(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	r.checkNoRollback()
	backup := r.streamEnds()
	n := r.publishAndWait(fullRetryBudget)
	answers := r.submitConcurrently("lost")
	lost := r.streamEnds()
	r.must(r.Log.Post(r.ctx, "/restore", logsvc.RestoreRequest{Ends: backup}))
	other, err := (&claims.Batch{}).Encode() // is no valid record of versions
	r.must(err)
	for name, end := range lost {
		beyond := int(end-backup[name]) + 1 // what daemons have read
		_, err := r.logClient().Append(r.ctx, name, slices.Repeat([][]byte{other}, beyond)...)
		r.must(err)
	}
	for range 3 {
		answers = append(answers, r.submitConcurrently("lost")...)
		for _, g := range r.submitConcurrently("fresh") {
			if g.status == http.StatusOK {
				t.Errorf("an order is executed on a log that may lack its claim: %s", g)
			}
		}
		time.Sleep(time.Second)
	}
	r.checkAtMostOnce("lost", answers...)
	r.awaitSameRecord(n)
}

// streamEnds returns the offsets at which the streams of the log end.
func (r *harness) streamEnds() map[string]uint64 {
	r.t.Helper()
	var stats logsvc.Stats
	r.must(r.Log.Stats(r.ctx, &stats))
	ends := map[string]uint64{}
	for _, s := range stats.PerStream {
		ends[s.Name] = s.Next
	}
	return ends
}
