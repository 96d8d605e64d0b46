package request_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
)

// fixedBudget is a budget that always has the same amount left.
type fixedBudget float64

func (fixedBudget) OnFirstAttempt(time.Time)        {}
func (b fixedBudget) Allow(_ time.Time, n int) bool { return float64(b) >= float64(n) }
func (b fixedBudget) Remaining(time.Time) float64   { return float64(b) }

// Guards against slow calls that are not hedged, hedges that were to be denied, and answers that are lost as
// the second replica dies or fails halfway. s1 is slow, after s0 has answered many calls at once. The
// clock stands still, so that the machine's load does not make replicas slow.
func TestSlowCall(t *testing.T) {
	type fixture struct {
		*silenceFixture
		noHedges        bool
		hedges, permits fixedBudget
	}
	for _, tc := range []struct {
		name    string
		arrange func(*fixture)
		want    string // the replica that answers, and the results of the hedge
	}{
		{"answered by the second", func(*fixture) {}, "s0 [sent  won ]"},
		{"the second dies", func(f *fixture) { f.services.behaviour["s0"] = fails(upstream.Maybe) }, "s1 [sent  lost ]"},
		{"the second refuses", func(f *fixture) { f.services.behaviour["s0"] = fails(upstream.Refused) }, "s1 [sent  lost ]"},
		{"the second fails", func(f *fixture) { f.services.behaviour["s0"] = answers(http.StatusInternalServerError) }, "s1 [sent  lost ]"},
		{"share of 0", func(f *fixture) { f.noHedges = true }, "s1 []"},
		{"at most once", func(f *fixture) { f.call.SendOnce = true }, "s1 []"},
		{"share spent", func(f *fixture) { f.hedges = 0 }, "s1 [denied share-spent]"},
		{"no retry permit", func(f *fixture) { f.permits = 0 }, "s1 [denied no-retry-permit]"},
		{"others queue", func(f *fixture) { f.set(func() { f.members[len(f.members)-1].Queued = 1 }) }, "s1 [denied no-replica]"},
		{"no other replica", func(f *fixture) { f.leave("s0") }, "s1 [denied no-replica]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f, now := &fixture{hedges: 1, permits: 1}, time.Now()
			f.silenceFixture = newSilenceFixture(t, 2, func(o *request.Options) {
				o.Now, o.Limits.CallTimeoutFactor, o.Limits.RetryServerErrors = func() time.Time { return now }, 1000, true
				o.HedgeBudget = func(string) request.RetryBudget {
					if f.noHedges {
						return nil
					}
					return f.hedges
				}
				o.RetryBudget = func(string) request.RetryBudget { return f.permits }
			})
			for range 30 {
				if _, err := f.runner.Call(context.Background(), f.call); err != nil {
					t.Fatal(err)
				}
			}
			now = now.Add(time.Second) // the quantiles are computed again
			f.leave("s0")
			f.join("s0", "s0")
			tc.arrange(f)
			f.services.behaviour["s1"] = func(ctx context.Context) (int, error) {
				if tc.want == "s1 []" {
					return silentFor(100 * time.Millisecond)(ctx)
				}
				for ctx.Err() == nil && len(f.lines.fieldsOf("hedge")) == 0 {
					time.Sleep(time.Millisecond)
				}
				if tc.want[:2] == "s0" {
					return silent(ctx)
				}
				waitUntil(t, "the second replica has ended", func() bool { return f.services.inProgress() == 1 })
				return http.StatusOK, nil
			}
			answer, err := f.runner.Call(context.Background(), f.call)
			if err != nil {
				t.Fatal(err)
			}
			results := []string{}
			for _, fields := range f.lines.fieldsOf("hedge") {
				results = append(results, fmt.Sprint(fields["result"], " ", fields["reason"]))
			}
			if got := fmt.Sprint(string(answer.Body), " ", results); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			if n := f.services.inProgress(); n != 0 {
				t.Errorf("%d calls in progress after the end", n)
			}
		})
	}
}
