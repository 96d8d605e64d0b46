package claims

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
)

// explorer visits every state that the model can reach.
type explorer struct {
	seen            map[[sha256.Size]byte]struct{}
	path            []step // steps that lead to the state being visited
	runs            int    // states visited in which the request has run
	runsAfterNotRun int    // of these, states in which the last run came after a "not run" answer
	maxStates       int    // the test fails above this number of states
}

// visit checks a state and all states that follow from it. It returns false if a
// check failed.
func (e *explorer) visit(t *testing.T, w *modelState) bool {
	if w.err != "" {
		t.Errorf("%s\n%s", w.err, e.trace())
		return false
	}
	sum := sha256.Sum256([]byte(w.fingerprint()))
	if _, ok := e.seen[sum]; ok {
		return true
	}
	e.seen[sum] = struct{}{}
	if len(e.seen) > e.maxStates {
		t.Errorf("more than %d states", e.maxStates)
		return false
	}
	if n := len(w.dispatches); n > 0 {
		e.runs++
		if len(w.notRun) > 0 && w.notRun[0].step < w.dispatches[n-1].step {
			e.runsAfterNotRun++
		}
	}
	for _, s := range w.possibleSteps() {
		c := w.clone()
		c.apply(s)
		e.path = append(e.path, s)
		ok := e.visit(t, c)
		e.path = e.path[:len(e.path)-1]
		if !ok {
			return false
		}
	}
	return true
}

// trace returns the steps that lead to the state being visited, one per line.
func (e *explorer) trace() string {
	var b strings.Builder
	for _, s := range e.path {
		fmt.Fprintf(&b, "  %s %d\n", s.name, s.index)
	}
	return b.String()
}

// TestAtMostOnceInEveryOrder checks that no request runs twice or runs after its
// caller was told "not run". Two daemons with one key take their steps in every
// order, with claims that reach the log late or twice, lost replies, reads, lookups
// at a home, refusals, restarts, freezes, expired keys and trimmed records.
// docs/design/claims.md names the failures that appear when each mechanism is
// removed.
func TestAtMostOnceInEveryOrder(t *testing.T) {
	attemptsAt := func(daemons ...int) (out []modelAttempt) {
		for _, d := range daemons {
			out = append(out, modelAttempt{daemon: d, phase: '.', offset: -1, body: 1}) // '.': not arrived yet
		}
		return out
	}
	otherBody := attemptsAt(0, 1)
	otherBody[1].body = 2
	tests := []struct {
		name     string
		attempts []modelAttempt
		home     bool // daemon 1 does not follow the stream and asks daemon 0
		faults   faults
	}{
		{"replay and retry", attemptsAt(0, 1, 1), false, faults{timeouts: 1}},
		{"another body", otherBody, false, faults{timeouts: 1, refusals: 1}},
		{"lost replies", attemptsAt(0, 1), false, faults{lostReplies: 2}},
		{"records twice", attemptsAt(0, 1), false, faults{duplicates: 1, timeouts: 1, refusals: 1}},
		{"refused and retried", attemptsAt(0, 1, 1), false, faults{refusals: 1, timeouts: 1}},
		{"refused, reply lost", attemptsAt(0, 1), false, faults{refusals: 1, lostReplies: 1, timeouts: 1}},
		{"killed", attemptsAt(0, 0, 1), false, faults{kills: 1}},
		{"killed after a refusal", attemptsAt(0, 0), false, faults{kills: 1, refusals: 1, timeouts: 1}},
		{"killed, reply lost", attemptsAt(0, 1), false, faults{kills: 1, lostReplies: 1}},
		{"records twice past the lifetime", attemptsAt(0, 1), false, faults{duplicates: 1, lifetimeTicks: 1, refusals: 1, timeouts: 1}},
		{"frozen past the grant", attemptsAt(0, 1), false, faults{grantTicks: 1, refusals: 1, timeouts: 1}},
		{"frozen past the lifetime", attemptsAt(0, 1), false, faults{lifetimeTicks: 1, refusals: 1, timeouts: 1}},
		{"trimmed and restarted", attemptsAt(0, 1), false, faults{kills: 1, trims: 1, timeouts: 1}},
		{"trimmed and restarted past the lifetime", attemptsAt(0, 1), false, faults{kills: 1, trims: 1, lifetimeTicks: 1}},
		{"trimmed after a refusal", attemptsAt(0, 0, 1), false, faults{refusals: 1, trims: 1}},
		{"home", attemptsAt(0, 1), true, faults{lostReplies: 1, timeouts: 1}},
		{"home, refused and retried", attemptsAt(1, 0, 1), true, faults{refusals: 1}},
		{"home restarted, trimmed", attemptsAt(1, 1), true, faults{kills: 1, trims: 1, timeouts: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := &modelState{attempts: tt.attempts, faultsLeft: tt.faults}
			for i := range 2 {
				follows := i == 0 || !tt.home
				w.daemons = append(w.daemons, &modelDaemon{
					m: newModelMachine(i, 1, follows, w.time()), follows: follows, incarnation: 1, inFlight: -1,
				})
			}
			e := &explorer{seen: map[[sha256.Size]byte]struct{}{}, maxStates: 400_000}
			e.visit(t, w)
			t.Logf("%d states, %d with a run, %d with a run after \"not run\"", len(e.seen), e.runs, e.runsAfterNotRun)
			if e.runs == 0 {
				t.Error("no state with a run was reached")
			}
		})
	}
}
