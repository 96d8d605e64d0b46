package request_test

import (
	"context"
	"testing"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against a log that does not tell why a call to a replica counts as not run.
func TestFailedCallIsLoggedWithItsProof(t *testing.T) {
	s := newSilenceFixture(t, 2, nil)
	s.services.behaviour["s0"] = fails(upstream.Refused)
	if _, err := s.runner.Call(context.Background(), s.call); err != nil {
		t.Fatal(err)
	}
	wantFailedSend(t, s.lines, "call", "s0", "refused", "refusal")
}

// Guards against a log that does not tell that a call to an engine may have run.
func TestFailedPrefillIsLoggedWithItsProof(t *testing.T) {
	lines := &lineRecorder{}
	f := newFleet(t, func(o *request.Options) { o.Logger = &log.Logger{Handler: lines, Level: log.InfoLevel} })
	f.engines["p0"].SetFaults(engine.Faults{CutReply: []string{engineapi.PathPrefill}}, 1)
	f.complete(context.Background(), newCompletion("r1"), nil).wantComplete()
	wantFailedSend(t, lines, "prefill", "p0", "maybe", "none")
}

// wantFailedSend checks that one failed call was logged.
func wantFailedSend(t *testing.T, r *lineRecorder, step, upstreamName, delivery, proof string) {
	t.Helper()
	got := r.fieldsOf("send failed")
	if len(got) != 1 {
		t.Fatalf("%d lines, want one: %v", len(got), got)
	}
	for field, want := range map[string]string{"step": step, "upstream": upstreamName, "delivery": delivery, "proof": proof} {
		if got[0][field] != want {
			t.Errorf("%s is %v, want %s", field, got[0][field], want)
		}
	}
}
