package board

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
)

// nextVersion returns a successor of v in which some upstreams are added, changed,
// moved to another pool or removed. Its Changes list them.
func nextVersion(rng *rand.Rand, v *bundle.Version) *bundle.Version {
	content := *v.Bundle
	content.Upstreams = maps.Clone(content.Upstreams)
	changed := map[string]bool{}
	for range 1 + rng.IntN(4) {
		name := fmt.Sprintf("u%02d", rng.IntN(30))
		changed[name] = true
		if rng.IntN(3) == 0 {
			delete(content.Upstreams, name)
			continue
		}
		content.Upstreams[name] = bundle.Upstream{
			Pool: []string{"p", "d", "none"}[rng.IntN(3)], Address: fmt.Sprint(rng.IntN(2)),
			State: []bundle.UpstreamState{bundle.StateServing, bundle.StateLeaving}[rng.IntN(2)],
		}
	}
	return &bundle.Version{
		Bundle: &content, Number: v.Number + 1,
		Changes: &bundle.Changes{Since: v.Number, Upstreams: slices.Sorted(maps.Keys(changed))},
	}
}

// Guards against a difference between a version applied by its list of changes and the
// same version applied as a whole. A daemon would then plan on an upstream that no
// longer exists, or on one in its previous pool.
func TestApplyChangesMatchesFullUpdate(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		v := version(1, "", nil)
		v.Bundle.Pools["p"] = bundle.Pool{Role: bundle.RolePrefill}
		incremental, full := New(Config{}), New(Config{})
		incremental.SetVersion(t0, v)
		full.SetVersion(t0, v)
		for i := range 30 {
			now := after(time.Duration(i) * time.Millisecond)
			v = nextVersion(rng, v)
			whole := *v
			whole.Changes = nil
			incremental.SetVersion(now, v)
			full.SetVersion(now, &whole)
			for name := range v.Bundle.Upstreams { // both boards must keep the load
				if rng.IntN(4) == 0 {
					incremental.ApplyReport(now, name, load(1, uint64(i+1), i), 0)
					full.ApplyReport(now, name, load(1, uint64(i+1), i), 0)
				}
			}
			if d := cmp.Diff(full.Statuses(now), incremental.Statuses(now)); d != "" {
				t.Fatalf("seed %d, version %d: %s", seed, v.Number, d)
			}
			a, b := full.Snapshot(now), incremental.Snapshot(now)
			for _, pool := range []string{"p", "d", "none"} {
				if d := cmp.Diff(poolNames(a.Pool(pool)), poolNames(b.Pool(pool))); d != "" {
					t.Fatalf("seed %d, version %d, pool %s: %s", seed, v.Number, pool, d)
				}
			}
		}
	}
}

// Guards against a daemon that crashes when the last upstream of a pool is withdrawn, because a snapshot that requests are
// reading changes.
func TestSnapshotKeepsAPoolThatEmpties(t *testing.T) {
	b := newBoard("a")
	before := b.Snapshot(t0)
	empty := version(2, "", nil)
	empty.Changes = &bundle.Changes{Since: 1, Upstreams: []string{"a"}}
	b.SetVersion(t0, empty)
	if names := poolNames(before.Pool("d")); len(names) != 1 {
		t.Errorf("the snapshot before has %q", names)
	}
	if names := poolNames(b.Snapshot(t0).Pool("d")); len(names) != 0 {
		t.Errorf("the snapshot after has %q", names)
	}
}

// BenchmarkOneUpstream applies a version in which one upstream differs and builds the
// next snapshot, with the version's list of changes (told=true in the benchmark's name)
// and without it.
func BenchmarkOneUpstream(b *testing.B) {
	for _, n := range []int{133, 1500, 12000} {
		for _, withChanges := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d/told=%t", n, withChanges), func(b *testing.B) {
				board, names := benchBoard(n)
				content := *board.version.Bundle
				b.ReportAllocs()
				for i := uint64(2); b.Loop(); i++ {
					name := names[i%uint64(n)]
					up := content.Upstreams[name]
					up.Incarnation = int64(i)
					next := content
					next.Upstreams = maps.Clone(content.Upstreams)
					next.Upstreams[name] = up
					v := &bundle.Version{Number: i, Bundle: &next}
					if withChanges {
						v.Changes = &bundle.Changes{Since: i - 1, Upstreams: []string{name}}
					}
					board.SetVersion(t0, v)
					board.Snapshot(t0)
					content = next
				}
			})
		}
	}
}

// poolNames returns the names of the replicas in p.
func poolNames(p *policy.Pool) []string {
	if p == nil {
		return nil
	}
	var out []string
	for _, r := range p.Replicas() {
		out = append(out, r.Name)
	}
	return out
}
