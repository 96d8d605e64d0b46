package board

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// newHandoffBoard returns a board with two prefill engines and three decode engines.
func newHandoffBoard() *Board {
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

// Guards against prompts being prefilled again and again for a decode engine that
// accepts none of them. A decode engine that is changing to the prefill role still
// grants reservations but refuses the handoffs. If only the prefill engine were blamed,
// whose result might have expired, requests would continue to go to that decode engine.
func TestRepeatedHandoffFailures(t *testing.T) {
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
			b := newHandoffBoard()
			for _, h := range c.handoffs {
				b.RecordHandoff(t0, h.from, h.to, h.taken)
			}
			s := b.Snapshot(t0)
			listed := map[string]bool{}
			for _, pool := range []string{"p", "d"} {
				for _, r := range s.Pool(pool).Replicas() {
					listed[r.Name] = true
				}
			}
			for _, name := range []string{"p0", "p1", "d0", "d1", "d2"} {
				if listed[name] == (name == c.ejected) {
					t.Errorf("%s is listed: %v", name, listed[name])
				}
			}
		})
	}
}
