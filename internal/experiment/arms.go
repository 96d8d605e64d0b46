package experiment

import (
	"slices"

	"github.com/corianderturn/corianderturn/bundle"
)

// Arm is one of the alternatives under comparison: a policy, possibly with parts of it
// switched off.
type Arm struct {
	Name string
	// Policy is the policy's name in the bundle; Disable lists the parts that are
	// switched off.
	Policy  string
	Disable []string
	// Baseline is set if the arm is one that the project's own policy is compared
	// with.
	Baseline bool
}

// ReserveArm is the name of the arm with the project's own policy, reserve, with every
// part switched on.
const ReserveArm = "reserve"

// Arms returns the arm with the project's own policy and the baselines, in the
// order in which reports list them.
func Arms() []Arm {
	return []Arm{
		{Name: ReserveArm, Policy: "reserve"},
		{Name: "least-loaded", Policy: "least-loaded", Baseline: true},
		{Name: "round-robin", Policy: "round-robin", Baseline: true},
	}
}

// Ablations returns arms with the project's own policy, each with a different part
// switched off.
func Ablations() []Arm {
	var out []Arm
	for _, part := range []string{"decode-first", "headroom", "prefix", "early-refusal", "queue"} {
		out = append(out, Arm{Name: "without " + part, Policy: "reserve", Disable: []string{part}})
	}
	return out
}

// Apply returns a copy of base with the policy name and the disabled parts of the
// arm.
func (a Arm) Apply(base bundle.PolicyConfig) bundle.PolicyConfig {
	base.Name = a.Policy
	base.Disable = slices.Clone(a.Disable)
	return base
}

// rotateArms returns the arms rotated by offset places. The repeat's number is the
// offset, so that no arm is always measured first or last.
func rotateArms(arms []Arm, offset int) []Arm {
	offset %= len(arms)
	return slices.Concat(arms[offset:], arms[:offset])
}
