package request_test

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/request"
)

// Symptom: nobody can tell from the log why a request took two prefills.
// Sequence: the first attempt's KV cache is cut on its way, the second answers.
// Cause: a decision without its line, or lines whose fields differ.
func TestDecisionLines(t *testing.T) {
	lines := memory.New()
	f := newFleet(t, func(o *request.Options) { o.Logger = &log.Logger{Handler: lines, Level: log.InfoLevel} })
	f.engines["p0"].SetFaults(engine.Faults{CutExport: true}, 1)
	f.run(context.Background(), completion("r1"), nil).whole()
	var got []string
	for _, e := range lines.Entries {
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
	if w := locked(f, func() int { return f.wasted }); w == 0 {
		t.Error("the first attempt's prefill was not counted as wasted")
	}
}
