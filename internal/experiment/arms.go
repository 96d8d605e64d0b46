package experiment

import (
	"slices"

	"github.com/corianderturn/corianderturn/bundle"
)

// Arm is one policy under comparison, selected by the bundle.
type Arm struct {
	Name string
	// Policy is the bundle's policy name; Disable lists the parts switched off.
	Policy   string
	Disable  []string
	Baseline bool
}

// Ours is the name of the arm with the whole policy.
const Ours = "reserve"

// Arms returns our policy and the baselines, in the order of reports.
func Arms() []Arm {
	return []Arm{
		{Name: Ours, Policy: "reserve"},
		{Name: "least-loaded", Policy: "least-loaded", Baseline: true},
		{Name: "round-robin", Policy: "round-robin", Baseline: true},
	}
}

// Ablations returns our policy with one part switched off at a time.
func Ablations() []Arm {
	var out []Arm
	for _, part := range []string{"decode-first", "headroom", "prefix", "early-refusal", "queue"} {
		out = append(out, Arm{Name: "without " + part, Policy: "reserve", Disable: []string{part}})
	}
	return out
}

// Apply returns the policy settings of the arm, the rest as in base.
func (a Arm) Apply(base bundle.PolicyConfig) bundle.PolicyConfig {
	base.Name = a.Policy
	base.Disable = slices.Clone(a.Disable)
	return base
}

// rotated returns the arms in another order for each repeat, so that none is
// always the first or the last.
func rotated(arms []Arm, by int) []Arm {
	by %= len(arms)
	return slices.Concat(arms[by:], arms[:by])
}
