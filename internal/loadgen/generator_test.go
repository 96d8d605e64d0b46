package loadgen

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// testWorkload returns the default workload with two teams.
func testWorkload() Workload {
	w := DefaultWorkload()
	w.Teams = []Team{{"north", "k1"}, {"south", "k2"}}
	return w
}

// generateSpecs returns the first n requests of a run of testWorkload.
func generateSpecs(t *testing.T, run string, seed uint64, n int) []Spec {
	t.Helper()
	g, err := NewGenerator(testWorkload(), run, seed)
	if err != nil {
		t.Fatal(err)
	}
	out := make([]Spec, n)
	for i := range out {
		out[i] = g.Next()
	}
	return out
}

func TestGeneratorIsDeterministic(t *testing.T) {
	a, b := generateSpecs(t, "r", 7, 200), generateSpecs(t, "r", 7, 200)
	if d := cmp.Diff(a, b); d != "" {
		t.Fatalf("the same seed gave different requests: %s", d)
	}
	if cmp.Equal(a, generateSpecs(t, "r", 8, 200)) {
		t.Fatal("another seed gave the same requests")
	}
	for i, s := range generateSpecs(t, "other", 7, 200) {
		if s.At != a[i].At || s.Kind != a[i].Kind || s.MaxTokens != a[i].MaxTokens {
			t.Fatalf("request %d depends on the run's name", i)
		}
		if s.Key == a[i].Key || s.Prompt != "" && s.Prompt[:8] == a[i].Prompt[:8] {
			t.Fatalf("request %d shares its key or prefix with another run", i)
		}
	}
}

func TestArrivalsArePoisson(t *testing.T) {
	list := generateSpecs(t, "r", 3, 20_000)
	rate := float64(len(list)) / list[len(list)-1].At.Seconds()
	if math.Abs(rate/50-1) > 0.03 {
		t.Errorf("rate %.1f, want 50", rate)
	}
	var sum, squares float64
	for i := 1; i < len(list); i++ {
		gap := (list[i].At - list[i-1].At).Seconds()
		sum += gap
		squares += gap * gap
	}
	n := float64(len(list) - 1)
	mean := sum / n
	if cv := math.Sqrt(squares/n-mean*mean) / mean; math.Abs(cv-1) > 0.05 {
		t.Errorf("gaps vary by %.3f of their mean, want 1 for a Poisson process", cv)
	}
}

func TestMixAndPrompts(t *testing.T) {
	list := generateSpecs(t, "r", 5, 5000)
	counts := map[Kind]int{}
	shared, repeated := 0, 0
	for _, s := range list {
		counts[s.Kind]++
		if strings.HasPrefix(s.Prompt, "r council") {
			shared++
		}
		if s.RepeatAfter > 0 {
			repeated++
		}
		if s.Kind.IsCompletion() && (s.MaxTokens < 4 || len(s.Prompt) > 4*31_000) {
			t.Fatalf("request %d out of bounds: %d tokens, %d bytes", s.Index, s.MaxTokens, len(s.Prompt))
		}
	}
	checkShare := func(what string, got int, of int, share float64) {
		if p := float64(got) / float64(of); math.Abs(p-share) > 0.05 {
			t.Errorf("%s: share %.3f, want %.2f", what, p, share)
		}
	}
	checkShare("look-ups", counts[KindLookup], len(list), 0.45)
	checkShare("drafts", counts[KindDraft], len(list), 0.3)
	checkShare("shared preambles", shared, counts[KindDraft], 0.6)
	checkShare("repeated keys", repeated, counts[KindSubmit], 0.3)
}
