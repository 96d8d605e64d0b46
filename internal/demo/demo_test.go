package demo

import (
	"testing"

	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// testReport returns a report with these outcomes in which each kind of request has an answer.
func testReport(outcomes map[loadgen.Outcome]int, ledger loadgen.LedgerReport) *loadgen.Report {
	r := &loadgen.Report{Ledger: &ledger}
	for o, n := range outcomes {
		r.All.Outcomes = append(r.All.Outcomes, loadgen.OutcomeCount{Outcome: o, Count: n})
		r.All.Offered += n
	}
	for _, k := range loadgen.Kinds() {
		r.Kinds = append(r.Kinds, loadgen.Section{
			Name:     string(k),
			Outcomes: []loadgen.OutcomeCount{{Outcome: loadgen.Answered, Count: 1}},
		})
	}
	return r
}

func TestSummarize(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes map[loadgen.Outcome]int
		ledger   loadgen.LedgerReport
		line     string
		passed   bool
	}{
		"kept": {
			outcomes: map[loadgen.Outcome]int{loadgen.Answered: 8, loadgen.Refused: 2},
			line:     "demo: accepted 10 answered 8 refused 2 lost 0 doubled 0", passed: true,
		},
		"a request cut by the kill and not mended is lost": {
			outcomes: map[loadgen.Outcome]int{loadgen.Answered: 8, loadgen.Severed: 1},
			line:     "demo: accepted 9 answered 8 refused 0 lost 1 doubled 0",
		},
		"a key that ran twice": {
			outcomes: map[loadgen.Outcome]int{loadgen.Answered: 8},
			ledger:   loadgen.LedgerReport{Doubled: 1},
			line:     "demo: accepted 8 answered 8 refused 0 lost 0 doubled 1",
		},
		"a key that ran though its caller was told not": {
			outcomes: map[loadgen.Outcome]int{loadgen.Answered: 8},
			ledger:   loadgen.LedgerReport{ExecutedDespiteNotRun: 1},
			line:     "demo: accepted 8 answered 8 refused 0 lost 0 doubled 0",
		},
	} {
		s := summarize(testReport(c.outcomes, c.ledger))
		if s.String() != c.line {
			t.Errorf("%s: %q, want %q", name, s, c.line)
		}
		if passed := s.err() == nil; passed != c.passed {
			t.Errorf("%s: passed %v, want %v", name, passed, c.passed)
		}
	}
}
