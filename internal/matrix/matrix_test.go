package matrix

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCellOf(t *testing.T) {
	for name, want := range map[string]Cell{
		"TestX/mid-stream/upstream-killed":             {Step: "mid-stream", Fault: "upstream-killed"},
		"TestX/table/claim/log-down+daemon-killed":     {Step: "claim", Fault: "log-down", Second: "daemon-killed"},
		"TestX/mid-stream":                             {},
		"TestX/mid-stream/no-such-fault":               {},
		"TestX/claim/log-down+no-such-fault":           {},
		"TestX/mid-stream/upstream-killed/second-part": {},
	} {
		got, ok := CellOf(name)
		if got != want || ok != (want != Cell{}) {
			t.Errorf("%s: %v %v, want %v", name, got, ok, want)
		}
	}
}

func TestWriteMarkdownCountsOnlyExecutedTests(t *testing.T) {
	output := strings.Join([]string{
		`{"Action":"pass","Package":"p/request","Test":"TestX/mid-stream/upstream-killed"}`,
		`{"Action":"fail","Package":"p/request","Test":"TestY/mid-stream/upstream-killed"}`,
		`{"Action":"pass","Package":"p/claims","Test":"TestX/claim/log-down"}`,
		`{"Action":"skip","Package":"p/claims","Test":"TestX/claim/log-slow"}`,
		`{"Action":"pass","Package":"p/claims","Test":"TestX/claim/log-down+daemon-killed"}`,
		`not JSON`,
	}, "\n")
	results, err := ParseTestOutput(strings.NewReader(output))
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	got, err := WriteMarkdown(&page, results)
	if err != nil {
		t.Fatal(err)
	}
	singles := len(Steps()) * len(Faults())
	want := Totals{Cells: singles + 1, Proved: 2, Red: 1, Impossible: got.Impossible}
	want.Unproved = singles - 2 - want.Impossible
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("totals (-want +got):\n%s", diff)
	}
	if !strings.Contains(page.String(), "TestY/mid-stream/upstream-killed` failed") {
		t.Fatal("the failed test is not named")
	}
}

func TestRulesUseListedStepsAndFaults(t *testing.T) {
	for _, r := range rules {
		for _, s := range r.steps {
			for _, f := range r.faults {
				if _, ok := CellOf("T/" + string(s) + "/" + string(f)); !ok {
					t.Errorf("rule %q names %s/%s, which is not in the lists", r.reason, s, f)
				}
			}
		}
	}
}
