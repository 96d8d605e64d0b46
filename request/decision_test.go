package request_test

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/request"
)

// TestDecisionLines checks that every decision has a log line and that all lines have the same
// fields. The KV cache transfer of the first attempt is cut and the second attempt answers, so
// that the log must explain why the request needed two prefills.
func TestDecisionLines(t *testing.T) {
	lines := memory.New()
	f := newFleet(t, func(o *request.Options) { o.Logger = &log.Logger{Handler: lines, Level: log.InfoLevel} })
	f.engines["p0"].SetFaults(engine.Faults{CutExport: true}, 1)
	f.complete(context.Background(), newCompletion("r1"), nil).wantComplete()
	var got []string
	verdicts, retries := 0, 0
	for _, e := range lines.Entries {
		if e.Message == "verdict" {
			checkVerdict(t, e)
			verdicts++
			continue
		}
		if e.Message == "retry" {
			checkRetry(t, e)
			retries++
			continue
		}
		for name := range (request.Decision{}).Fields() {
			if _, ok := e.Fields[name]; !ok {
				t.Errorf("%v lacks %s", e.Fields, name)
			}
		}
		if e.Message != "decision" || e.Fields["request"] != "r1" || e.Fields["bundle"] != uint64(1) {
			t.Errorf("line %q %v", e.Message, e.Fields)
		}
		got = append(got, e.Fields["step"].(string)+" "+e.Fields["upstream"].(string)+" "+e.Fields["prefill"].(string))
	}
	want := []string{"plan d0 p0", "cancel d0 p0", "cancel p0 p0", "plan d1 p1", "finish d1 p1"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if verdicts != 1 {
		t.Errorf("%d verdicts for one completion", verdicts)
	}
	if retries != 1 {
		t.Errorf("%d lines for one retry", retries)
	}
	if w := locked(f, func() int { return f.wasted }); w == 0 {
		t.Error("the first attempt's prefill was not counted as wasted")
	}
}

// checkRetry checks the log line of a retry: it names the request and the budget (target), and
// contains the permits needed, the permits left and whether they were granted.
func checkRetry(t *testing.T, e *log.Entry) {
	t.Helper()
	want := log.Fields{
		"request": "r1", "class": bundle.Draft, "attempt": 2, "target": "m", "needs": 1, "keep": 0, "held": 0.0, "allowed": true,
	}
	if d := cmp.Diff(want, e.Fields); d != "" {
		t.Error(d)
	}
}

// checkVerdict checks that a verdict has all its fields and names the request and the engine
// that finished it.
func checkVerdict(t *testing.T, e *log.Entry) {
	t.Helper()
	for name := range (request.Verdict{}).Fields() {
		if _, ok := e.Fields[name]; !ok {
			t.Errorf("%v lacks %s", e.Fields, name)
		}
	}
	if e.Fields["request"] != "r1" || e.Fields["upstream"] != "d1" || e.Fields["answer"].(int) <= 0 {
		t.Errorf("verdict %v", e.Fields)
	}
}
