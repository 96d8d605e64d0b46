package board

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// handing returns a board of two prefill and three decode engines.
func handing() *Board {
	ups := map[string]bundle.Upstream{}
	for _, name := range []string{"p0", "p1"} {
		ups[name] = bundle.Upstream{Pool: "p", DataCentre: "dc", Address: name, State: bundle.StateServing}
	}
	for _, name := range []string{"d0", "d1", "d2"} {
		ups[name] = bundle.Upstream{Pool: "d", DataCentre: "dc", Address: name, State: bundle.StateServing}
	}
	b := New(Config{EjectMax: 2 * time.Second})
	b.SetVersion(t0, &bundle.Version{Number: 1, Bundle: &bundle.Bundle{
		Models:    map[string]bundle.Model{"m": {PrefillPool: "p", DecodePool: "d"}},
		Pools:     map[string]bundle.Pool{"p": {Role: bundle.RolePrefill, Slots: 12}, "d": {Role: bundle.RoleDecode, Slots: 12}},
		Upstreams: ups,
	}})
	return b
}

// Symptom: prompts are read again and again for an engine that takes none of them.
// Sequence: a decode engine is ordered to prefill; it still grants reservations, and
// refuses every request for which it has granted one.
// Cause: the prefill engine alone was blamed, whose result might have lapsed.
func TestTheEndThatFailsWithOthersIsBlamed(t *testing.T) {
	type handoff struct {
		from, to string
		taken    bool
	}
	for _, c := range []struct {
		name     string
		handoffs []handoff
		ejected  string
	}{
		{"one refusal tells nothing", []handoff{{"p0", "d0", false}}, ""},
		{"a pair that fails twice tells nothing", []handoff{{"p0", "d0", false}, {"p0", "d0", false}}, ""},
		{"a decode engine that refuses two others", []handoff{{"p0", "d0", false}, {"p1", "d0", false}}, "d0"},
		{"a prefill engine whose results lapse", []handoff{{"p0", "d0", false}, {"p0", "d1", false}}, "p0"},
		{"what it took in between clears it", []handoff{{"p0", "d0", false}, {"p1", "d0", true}, {"p1", "d0", false}}, ""},
		{"others that took theirs do not clear it", []handoff{{"p0", "d0", false}, {"p1", "d1", true}, {"p1", "d0", false}}, "d0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := handing()
			for _, h := range c.handoffs {
				b.HandedOff(t0, h.from, h.to, h.taken)
			}
			s := b.Snapshot(t0)
			there := map[string]bool{}
			for _, pool := range []string{"p", "d"} {
				for _, r := range s.Pool(pool).Replicas() {
					there[r.Name] = true
				}
			}
			for _, name := range []string{"p0", "p1", "d0", "d1", "d2"} {
				if there[name] == (name == c.ejected) {
					t.Errorf("%s is there: %v", name, there[name])
				}
			}
		})
	}
}
