package experiment

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// Firm is one of the two deployments of the users' brief.
type Firm struct {
	Name string
	Size Size
	// GoodputWeight and WastedPrefillWeight go into its bundle.
	GoodputWeight       float64
	WastedPrefillWeight float64
}

// Firms returns the deployments at their sizes of today. The brief gives the
// data centres, the drafting replicas (14 and 9), the plain-service replicas and
// the entry instances; how the drafting replicas split into prefill and decode
// is assumed, and so are the weights' values: the brief gives their order.
func Firms() []Firm {
	return []Firm{
		{
			Name: "placa-azul", GoodputWeight: 2, WastedPrefillWeight: 1,
			Size: Size{DataCentres: 3, Daemons: 6, Prefill: 4, Decode: 10, Services: 3, Service: "portal", Teams: 3},
		},
		{
			Name: "jalsetu", GoodputWeight: 1, WastedPrefillWeight: 2,
			Size: Size{DataCentres: 3, Daemons: 6, Prefill: 3, Decode: 6, Services: 3, Service: "orders", Teams: 3},
		},
	}
}

// The latency targets. The letter: first token within 0.97 s and 57 ms between
// tokens. Drafts may wait longer for their first token (the brief says that they
// will wait; the figure is assumed).
const (
	urgentFirstToken = 970 * time.Millisecond
	draftFirstToken  = 3 * time.Second
	betweenTokens    = 57 * time.Millisecond
)

// TargetsAt returns the latency targets divided by the time scale.
func TargetsAt(scale float64) loadgen.Targets {
	between := scaled(betweenTokens, scale)
	return loadgen.Targets{
		Urgent: loadgen.Target{FirstToken: scaled(urgentFirstToken, scale), BetweenTokens: between},
		Draft:  loadgen.Target{FirstToken: scaled(draftFirstToken, scale), BetweenTokens: between},
	}
}

// WorkloadOf returns the mix that a firm is measured with. The sizes are
// assumed: prompts from tens to tens of thousands of tokens, answers long enough
// that decode slots fill up before prefill engines do.
func WorkloadOf(f Firm, teams []loadgen.Team) loadgen.Workload {
	w := loadgen.DefaultWorkload()
	w.Service = f.Size.Service
	w.Teams = teams
	w.DraftPrompt = loadgen.Sizes{Median: 500, Sigma: 1.0, Min: 40, Max: 24_000}
	w.DraftTokens = loadgen.Sizes{Median: 180, Sigma: 0.4, Min: 40, Max: 500}
	w.PreambleTokens = 256
	return w
}

// setTargets writes the latency targets into the classes of a bundle.
func setTargets(b *bundle.Bundle, t loadgen.Targets) {
	for class, target := range b.Classes {
		want := t.Of(class)
		target.FirstTokenMillis = want.FirstToken.Milliseconds()
		target.BetweenTokensMillis = want.BetweenTokens.Milliseconds()
		b.Classes[class] = target
	}
}
