package fleet

import (
	"slices"
	"testing"
	"time"
)

const testLease = 3 * time.Second

// Guards against requests to upstreams that left, or drain, and are registered as if they did not in
// the copy from which the store was restored, and against upstreams that run and get none.
func TestRegistrationsOfACopy(t *testing.T) {
	known := appRegistration("u")
	known.Born, known.Sequence = 100, 7
	older, newer, reborn := known, known, known
	older.Sequence, newer.Sequence = 5, 8
	reborn.Born, reborn.Sequence = 200, 1
	draining := known
	draining.Draining = true
	const beforeLease, afterLease = 4400, 4600 // milliseconds
	for name, tc := range map[string]struct {
		before     func(r *Registry) // what is known before the restoration
		listed     *Registration     // in the copy; nil if it is not there
		after      func(r *Registry) // what happens a second after the restoration
		now, later bool              // the upstream gets requests before and after the copy's leases end
	}{
		"serves":                               {func(r *Registry) { r.Put(&known) }, &known, nil, true, true},
		"serves, older in the copy":            {func(r *Registry) { r.Put(&known) }, &older, nil, true, true},
		"never seen":                           {nil, &older, nil, true, true},
		"drains":                               {func(r *Registry) { r.Put(&draining) }, &older, nil, false, true},
		"drains, and writes so again":          {func(r *Registry) { r.Put(&draining) }, &older, func(r *Registry) { r.Receive(at(1000), &draining) }, false, false},
		"drains, and serves again":             {func(r *Registry) { r.Put(&draining) }, &older, func(r *Registry) { r.Receive(at(1000), &newer) }, true, true},
		"drains, and its entry goes":           {func(r *Registry) { r.Put(&draining) }, &older, func(r *Registry) { r.HandleMissing(at(1000), []string{"u"}, false) }, false, false},
		"left":                                 {func(r *Registry) { r.Put(&known); r.HandleMissing(t0, []string{"u"}, false) }, &known, nil, false, true},
		"left, and the lease expires":          {func(r *Registry) { r.Put(&known); r.HandleMissing(t0, []string{"u"}, false) }, &older, func(r *Registry) { r.HandleMissing(at(1000), []string{"u"}, false) }, false, false},
		"left, and its old entry comes twice":  {func(r *Registry) { r.Put(&known); r.HandleMissing(t0, []string{"u"}, false) }, &older, func(r *Registry) { r.Receive(at(1000), &known) }, false, true},
		"left, and writes again":               {func(r *Registry) { r.Put(&known); r.HandleMissing(t0, []string{"u"}, false) }, &older, func(r *Registry) { r.Receive(at(1000), &newer) }, true, true},
		"left, and another one has the name":   {func(r *Registry) { r.Put(&known); r.HandleMissing(t0, []string{"u"}, false) }, &reborn, nil, true, true},
		"restarted, its last life in the copy": {func(r *Registry) { r.Put(&reborn) }, &known, nil, true, true},
		"came after the copy":                  {func(r *Registry) { r.Put(&known) }, nil, func(r *Registry) { r.Receive(at(1000), &newer) }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRegistry()
			if tc.before != nil {
				tc.before(r)
			}
			r.BeginEpoch(t0)
			r.RecordRead(t0, true)
			r.Replace(t0, slices.DeleteFunc([]*Registration{tc.listed}, func(reg *Registration) bool { return reg == nil }), true)
			if tc.after != nil {
				tc.after(r)
			}
			for _, check := range []struct {
				ms   int
				want bool
			}{{beforeLease, tc.now}, {afterLease, tc.later}} {
				r.RecordRead(at(check.ms), false)
				r.Expire(at(check.ms))
				if got := servingUpstreams(t, r)["u"]; got != check.want {
					t.Errorf("after %d ms: serving %t", check.ms, got)
				}
			}
		})
	}
}

// Guards against a registry that waits for a lease of the copy without a timer.
func TestExpireReturnsWhenHeldRegistrationsAreUsed(t *testing.T) {
	reg := appRegistration("u")
	r := newTestRegistry(reg)
	r.HandleMissing(t0, []string{"u"}, false)
	r.BeginEpoch(t0)
	r.Replace(t0, []*Registration{&reg}, true)
	if got, want := r.Expire(t0), t0.Add(testLease+leaseMargin); !got.Equal(want) {
		t.Errorf("next at %v, want %v", got, want)
	}
}
