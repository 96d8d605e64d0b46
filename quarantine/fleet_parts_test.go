package quarantine

import "testing"

// Guards against a simulation that would pass although a part of the mechanism is broken. It
// runs the simulation with one part disabled at a time, and expects more than twice as many
// late arrivals or wrong refusals as with all parts enabled.
func TestModelNoticesEachPart(t *testing.T) {
	const seeds = 30
	play := func(parts modelParts) (lateArrivals, refused int) {
		for seed := range uint64(seeds) {
			f, _ := playModel(seed, 6, parts, true)
			for _, n := range f.lateArrivals {
				lateArrivals += n
			}
			refused += len(f.wronglyRefused) + f.polledRefused
		}
		return lateArrivals, refused
	}
	lateArrivals, refused := play(modelParts{})
	for _, tc := range []struct {
		name  string
		parts modelParts
		// keeps is set for parts that keep fatal requests from replicas. The other parts keep
		// harmless requests from being refused.
		keeps bool
	}{
		{"daemons do not share", modelParts{noSharing: true}, true},
		{"a new life reads nothing from before", modelParts{noHistory: true}, true},
		{"a failed append is lost", modelParts{noRetry: true}, true},
		{"what is held is not renewed", modelParts{noRenewal: true}, true},
		{"whole runs clear nothing", modelParts{noClearing: true}, false},
		{"an answer that had begun does not count", modelParts{noResponseState: true}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			gotLate, gotRefused := play(tc.parts)
			t.Logf("%d late arrivals, %d with all parts; %d wrong refusals, %d with all parts", gotLate, lateArrivals, gotRefused, refused)
			if tc.keeps && gotLate <= 2*lateArrivals || !tc.keeps && gotRefused <= 2*refused {
				t.Error("disabling this part made no difference")
			}
		})
	}
}
