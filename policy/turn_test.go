package policy

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// Guards against a request that asks although it is not its turn, against one that does not ask the
// engine that its turn names because that one looks full from here, and against one that waits past
// its limit for a turn.
func TestPlanInTurn(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	q.MayWait, q.Admission = true, AdmissionWaits
	f.bundle.Policy.QueueShare = 0.125
	limit := time.Duration(f.bundle.Policy.QueueShare * float64(f.bundle.Classes[q.Class].FirstToken()))
	if p, err := f.plan(NameReserve, q, 1); err != nil || p.Wait <= 0 || p.MayWait != limit {
		t.Errorf("without a turn: wait %s of %s, error %v; engines have room, the limit is %s", p.Wait, p.MayWait, err, limit)
	}
	fillPoolAndAllowWait(f, &q)
	const engine = "d2"
	q.Admission, q.Engine, q.QueuedAhead = AdmissionTurn, engine, 5
	if p, err := f.plan(NameReserve, q, 1); err != nil || p.Decode.Name != engine {
		t.Errorf("turn at %s: planned at %q, error %v", engine, p.Decode.Name, err)
	}
	q.Exclude = []string{engine}
	if p, err := f.plan(NameReserve, q, 1); err != nil || p.Wait <= 0 {
		t.Errorf("turn at an engine that has failed: %+v, error %v; the others are full", p, err)
	}
	q.Admission, q.Accepted = AdmissionWaits, q.Now.Add(-limit)
	if _, err := f.plan(NameReserve, q, 1); err == nil || err.Kind != errkind.Overloaded {
		t.Errorf("past the limit: %v", err)
	}
}

// Guards against refused callers that are told to come back much later or earlier than the queue of
// all daemons lets them in, or beyond the part of their target that they may use.
func TestRefusalFollowsExpectedWait(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	limit := limitQueueWait(f, &q)
	q.Admission, q.Accepted = AdmissionWaits, q.Now.Add(-limit)
	target := f.bundle.Classes[q.Class].FirstToken()
	for expected, want := range map[float64]float64{0.01: minRetryShare + retryShareJitter, 0.2: 0.2, 5: maxRetryShare} {
		q.ExpectedWait = time.Duration(expected * float64(target))
		for seed := range uint64(20) {
			_, err := f.plan(NameReserve, q, seed)
			if err == nil {
				t.Fatal("not refused")
			}
			if got := float64(err.RetryAfter) / float64(target); got > want+0.001 || got < want-retryShareJitter-0.001 {
				t.Errorf("expected wait of %.2f targets: told %.3f, want %.2f less jitter", expected, got, want)
			}
		}
	}
}
