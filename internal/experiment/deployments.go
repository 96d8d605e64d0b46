package experiment

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// Deployment describes one of the two installations that the router was designed for.
// Its name is that of the company that operates it.
type Deployment struct {
	Name string
	Size FleetSize
	// GoodputWeight and WastedPrefillWeight are the weights of goodput and of wasted
	// prefill in the policy settings of the deployment's bundle.
	GoodputWeight       float64
	WastedPrefillWeight float64
}

// Deployments returns the deployments at their present sizes. The requirements give the
// numbers of data centres, engines (14 and 9), plain-service replicas and instances.
// They don't give the split of the engines into prefill and decode, which is chosen
// here. Of the two weights they give only which one is larger, not the values.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "placa-azul", GoodputWeight: 2, WastedPrefillWeight: 1,
			Size: FleetSize{DataCentres: 3, Daemons: 6, Prefill: 4, Decode: 10, Services: 3, Teams: 3},
		},
		{
			Name: "jalsetu", GoodputWeight: 1, WastedPrefillWeight: 2,
			Size: FleetSize{DataCentres: 3, Daemons: 6, Prefill: 3, Decode: 6, Services: 3, Teams: 3},
		},
	}
}

// The latency targets that callers set: the time to the first token and the mean gap
// between tokens. They are the same for both request classes, urgent and draft.
const (
	firstTokenTarget    = 970 * time.Millisecond
	betweenTokensTarget = 57 * time.Millisecond
)

// ScaledTargets returns the latency targets of both classes, divided by the time scale.
func ScaledTargets(scale float64) loadgen.Targets {
	t := loadgen.Target{FirstToken: divideByScale(firstTokenTarget, scale), BetweenTokens: divideByScale(betweenTokensTarget, scale)}
	return loadgen.Targets{Urgent: t, Draft: t}
}

// setTestbedNames sets the model, the service and the service's paths of a workload
// to those of the bundle that package testbed writes.
func setTestbedNames(w *loadgen.Workload) {
	w.Model = testbed.Model
	w.Service = testbed.ServiceName
	w.LookupPath = "/status"
	w.SubmitPath = testbed.NonIdempotentPath
}

// DeploymentWorkload returns the workload that is used to measure every deployment. Prompts have from
// tens to tens of thousands of tokens; answers are long enough for the decode slots
// to fill up before the prefill engines do.
func DeploymentWorkload(teams []loadgen.Team) loadgen.Workload {
	w := loadgen.DefaultWorkload()
	setTestbedNames(&w)
	w.Teams = teams
	w.DraftPrompt = loadgen.SizeDistribution{Median: 400, Sigma: 1.0, Min: 40, Max: 24_000}
	w.DraftTokens = loadgen.SizeDistribution{Median: 110, Sigma: 0.25, Min: 40, Max: 170}
	w.PreambleTokens = 256
	return w
}

// setLatencyTargets sets the latency targets of every class of a bundle.
func setLatencyTargets(b *bundle.Bundle, t loadgen.Targets) {
	for class, target := range b.Classes {
		want := t.ForClass(class)
		target.FirstTokenMillis = want.FirstToken.Milliseconds()
		target.BetweenTokensMillis = want.BetweenTokens.Milliseconds()
		b.Classes[class] = target
	}
}
