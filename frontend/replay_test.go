package frontend

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// Guards against the run state "not-run" for a request that has run. A daemon runs a
// POST and fails before it responds. The load balancer resends the POST with the same
// idempotency key to a second daemon, which rejects it before the key is looked up.
// The second daemon must report "unknown": it cannot tell whether the first copy ran.
func TestRefusedBeforeTheGate(t *testing.T) {
	const key = "Idempotency-Key: k"
	var b *bundle.Bundle
	none := func(o *Options) { o.Bundle = func() *bundle.Bundle { return b } }
	full := func(o *Options) { o.Limits.MaxInFlight = 1 }
	for name, c := range map[string]struct {
		change  func(*Options)
		method  string
		headers []string
		kind    errkind.Kind
		run     errkind.RunState
	}{
		"full/key":          {full, "POST", []string{key}, errkind.Overloaded, errkind.Unknown},
		"full/no-key":       {full, "POST", nil, errkind.Overloaded, errkind.NotRun},
		"full/look-up":      {full, "GET", []string{key}, errkind.Overloaded, errkind.NotRun},
		"no-bundle/key":     {none, "POST", []string{key}, errkind.NotReady, errkind.Unknown},
		"own-mistake/key":   {nil, "POST", []string{key, "X-Class: fast"}, errkind.BadRequest, errkind.NotRun},
		"own-mistake/twice": {nil, "POST", []string{key, "X-Deadline-Ms: 0"}, errkind.BadDeadline, errkind.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestServer(t, c.change)
			g.inFlight.Add(1) // another request in flight
			p := problemOf(t, readBody(t, g.send(t, c.method, "/services/shop/orders", "", c.headers...)))
			if d := cmp.Diff([]any{c.kind, c.run, 0}, []any{p.Kind, p.Run, g.runner.requestCount()}); d != "" {
				t.Error(d)
			}
		})
	}
}
