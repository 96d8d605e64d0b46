package claims

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/logtest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startLog starts a stand-in for the log with a practically unlimited append rate.
func startLog(t testing.TB, now func() time.Time) (*logtest.Service, Log) {
	s := logtest.Start(t, logsvc.Config{AppendRate: 1e6, Now: now})
	return s, s.Client
}

// testGate returns a gate that runs until the test ends.
func testGate(t testing.TB, name string, l Log, edit func(*Options)) *Gate {
	t.Helper()
	o := Options{
		Log: l, Logger: &log.Logger{Handler: discard.New()}, Self: wire.NodeID{Instance: name, Incarnation: 1},
		AppendsPerSecond: 1e6, Linger: time.Millisecond,
	}
	if edit != nil {
		edit(&o)
	}
	g, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = g.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return g
}

// claimKey returns the key of a request whose body has the given digest.
func claimKey(key string, body byte) request.ClaimKey {
	return request.ClaimKey{Team: "team", Key: key, RequestID: "r-" + key, Body: [32]byte{body}}
}

// claimResult describes the result of a claim: "run", a refusal with its run state,
// the token's owner, or the answer of an earlier run.
func claimResult(g request.Grant, err *errkind.Error) string {
	switch {
	case err != nil:
		return fmt.Sprintf("%s %s", err.Kind, errkind.Answer(err).Run)
	case g.Run():
		return "run"
	}
	if owner, ok := g.Owner(); ok {
		return "owner " + owner.Instance
	}
	return "answer " + string(g.Answer().Body)
}

// TestRepeats checks how a repeat is answered at the first daemon (same) and at
// another one (other), for each outcome of the first claim.
func TestRepeats(t *testing.T) {
	small := &request.CallAnswer{Status: 200, Header: http.Header{"A": {"b"}}, Body: []byte("ok")}
	large := &request.CallAnswer{Status: 200, Body: make([]byte, 8<<10)}
	tests := []struct {
		name        string
		finish      *request.Outcome
		body        byte
		same, other string
	}{
		{"in progress", nil, 1, "key-in-progress unknown", "key-in-progress unknown"},
		{"ran", &request.Outcome{Run: errkind.Ran, Answer: small}, 1, "answer ok", "answer ok"},
		{"ran with a large answer", &request.Outcome{Run: errkind.Ran, Answer: large}, 1, "answer " + string(large.Body), "key-already-ran ran"},
		{"unknown", &request.Outcome{Run: errkind.Unknown}, 1, "key-outcome-unknown unknown", "key-outcome-unknown unknown"},
		{"not run", &request.Outcome{Run: errkind.NotRun}, 1, "", "run"},
		{"not run, another body", &request.Outcome{Run: errkind.NotRun}, 2, "", "key-reused not-run"},
		{"another body", nil, 2, "key-reused not-run", "key-reused not-run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, l := startLog(t, nil)
			a, b := testGate(t, "a", l, nil), testGate(t, "b", l, nil)
			g, err := a.Claim(t.Context(), claimKey("k", 1))
			if got := claimResult(g, err); got != "run" {
				t.Fatalf("first claim: %s", got)
			}
			if tt.finish != nil {
				g.Finish(*tt.finish)
				awaitStatus(t, b, claimKey("k", 1), statusFromRun(tt.finish.Run))
			}
			if tt.same != "" {
				checkClaim(t, tt.same, a, claimKey("k", tt.body))
			}
			checkClaim(t, tt.other, b, claimKey("k", tt.body))
		})
	}
}

// checkClaim claims k at g and compares the result with want.
func checkClaim(t *testing.T, want string, g *Gate, k request.ClaimKey) {
	t.Helper()
	if diff := cmp.Diff(want, claimResult(g.Claim(t.Context(), k))); diff != "" {
		t.Errorf("daemon %s (-want +got):\n%s", g.opts.Self.Instance, diff)
	}
}

// awaitStatus waits until a gate has read the given status of a key from the log.
func awaitStatus(t *testing.T, g *Gate, k request.ClaimKey, want Status) {
	t.Helper()
	key := NewKey(k.Team, k.Key)
	s := g.shards[key.Shard(len(g.shards))]
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		v, progress := s.machine.Lookup(key), s.progress
		s.mu.Unlock()
		if v.Found && v.Status == want {
			return
		}
		select {
		case <-progress:
		case <-ctx.Done():
		}
	}
	t.Fatalf("daemon %s never read status %d", g.opts.Self.Instance, want)
}

// TestSimultaneousClaimsGrantOnce checks that only one daemon runs a request. The
// balancer replays a POST to other daemons while the first is still working on it,
// all claim the key at the same time, and appends lose their replies or are
// recorded twice. Only one may be granted, which holds if all decide by the order
// of the log.
func TestSimultaneousClaimsGrantOnce(t *testing.T) {
	const daemons, keys = 4, 50
	service, l := startLog(t, nil)
	service.SetFaults(logsvc.Faults{LoseReply: true, Duplicate: true}, 24)
	var gates []*Gate
	for i := range daemons {
		gates = append(gates, testGate(t, fmt.Sprint(i), l, nil))
	}
	var runs [keys]atomic.Int32
	var wg conc.WaitGroup
	for _, g := range gates {
		for k := range keys {
			wg.Go(func() {
				if gr, err := g.Claim(t.Context(), claimKey(fmt.Sprint(k), 1)); err == nil && gr.Run() {
					runs[k].Add(1)
				}
			})
		}
	}
	wg.Wait()
	for k := range keys {
		if n := runs[k].Load(); n != 1 {
			t.Errorf("key %d was granted %d times", k, n)
		}
	}
}
