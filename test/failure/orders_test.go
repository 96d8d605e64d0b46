package failure

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/weights"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Versions of the model.
const (
	oldVersion = "1"
	newVersion = "2"
)

// mixedFencing makes prefill engines check the fencing numbers of orders and decode engines
// ignore them. Engines need 100 ms for an order. Decode engines fetch their weights from
// the weight store.
func mixedFencing(t testing.TB) func(*testbed.Layout) {
	t.Helper()
	store, err := testbed.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return func(l *testbed.Layout) {
		common := []string{"--model=" + testbed.Model + "=" + oldVersion, "--order-time=100ms"}
		l.WeightsFlags = []string{"--listen=" + store, "--size=262144"}
		l.PrefillFlags = append([]string{"--check-fence"}, common...)
		l.DecodeFlags = append([]string{"--weight-store=http://" + store}, common...)
	}
}

// setNewVersion changes the model's version to newVersion.
func setNewVersion(b *bundle.Bundle) {
	m := b.Models[testbed.Model]
	m.Version = newVersion
	b.Models[testbed.Model] = m
}

// checkServes returns nil when an engine reports that it serves the model's version and
// loads no other.
func (r *harness) checkServes(u *testbed.Upstream, version string) error {
	var s engineapi.State
	if err := r.engineGet(u, engineapi.PathState, &s); err != nil {
		return err
	}
	if s.Models[testbed.Model] != version || len(s.Loading) > 0 {
		return errors.Errorf("%s serves %v and is loading %v", u.Name, s.Models, s.Loading)
	}
	return nil
}

// engines returns all engines.
func (r *harness) engines() []*testbed.Upstream {
	return append(r.PoolUpstreams(testbed.PoolPrefill), r.PoolUpstreams(testbed.PoolDecode)...)
}

// awaitServed waits until all running engines serve the model's version.
func (r *harness) awaitServed(version string) {
	r.t.Helper()
	for _, u := range r.engines() {
		if u.Running() {
			r.eventually(u.Name+" serves version "+version, func() error { return r.checkServes(u, version) })
		}
	}
}

// sendOutdatedOrder sends an engine an order to load the old version, with the lowest
// fencing number, as if an order of a daemon had been delayed. It returns whether the
// engine accepted it.
func (r *harness) sendOutdatedOrder(u *testbed.Upstream) bool {
	r.t.Helper()
	body, err := json.Marshal(engineapi.Order{Fence: 1, Kind: engineapi.OrderLoadModel, Model: testbed.Model, Version: oldVersion})
	r.must(err)
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+u.Listen+engineapi.PathOrders, bytes.NewReader(body))
	r.must(err)
	var reply engineapi.OrderReply
	r.must(getJSON(req, &reply))
	return reply.Accepted
}

// Guards against orders to engines that are sent only once, or considered executed because
// they were sent or accepted, so that an engine serves an old version of a model or
// alternates between two. While a new version of the model is rolled out, orders or their
// replies are lost or delayed, the steward or an engine fails, the weight store is slow,
// data centres are cut from each other, or a copy of an old order arrives after the new
// one has taken effect.
func TestOrders(t *testing.T) {
	t.Parallel()
	onOrders := []string{engineapi.PathOrders}
	both := []string{testbed.PoolPrefill, testbed.PoolDecode}
	for name, c := range map[string]struct{ before, after func(*harness) }{
		"order-sent/connection-cut":     {before: func(r *harness) { r.setEngineFaults(engine.Faults{CutReply: onOrders}, 2, both...) }},
		"order-sent/connection-stalled": {before: func(r *harness) { r.setEngineFaults(engine.Faults{Stall: onOrders}, 1, both...) }},
		"order-sent/late-order": {before: func(r *harness) {
			r.setEngineFaults(engine.Faults{Delay: onOrders, DelayMS: 1500}, 1, both...)
		}},
		"order-sent/daemon-killed": {before: delayOrders, after: func(r *harness) { r.steward(r.Daemons[1]).Kill() }},
		"order-sent/daemon-frozen": {before: delayOrders, after: func(r *harness) {
			r.must(r.steward(r.Daemons[1]).Freeze(r.ctx))
		}},
		"order-sent/upstream-killed": {after: func(r *harness) { // the engines restart with the old version
			for _, u := range r.engines() {
				r.must(u.Post(r.ctx, "/crash", nil))
			}
		}},
		"order-sent/upstream-frozen": {
			before: func(r *harness) { r.freezeDecode() },
			after:  func(r *harness) { r.thawDecode() },
		},
		"order-sent/weight-store-slow": {before: func(r *harness) {
			r.must(testbed.SetFaults(r.ctx, r.Weights, weights.Faults{Slow: 30}, 0))
		}},
		"order-sent/weight-store-slow+connection-cut": {before: func(r *harness) {
			r.must(testbed.SetFaults(r.ctx, r.Weights, weights.Faults{Cut: true}, 2))
		}},
		"order-sent/data-centre-cut": {before: func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut) }},
		"order-read-back/connection-cut": {before: func(r *harness) {
			r.setEngineFaults(engine.Faults{CutReply: []string{engineapi.PathState}}, 3, testbed.PoolPrefill)
		}},
		"order-read-back/connection-stalled": {before: func(r *harness) {
			r.setEngineFaults(engine.Faults{Stall: []string{engineapi.PathState}}, 3, testbed.PoolPrefill)
		}},
		"order-read-back/daemon-frozen": {after: func(r *harness) {
			r.awaitServed(newVersion)
			r.must(r.steward(r.Daemons[1]).Freeze(r.ctx))
			sendOutdatedOrders(r)
		}},
		"order-read-back/upstream-killed": {after: func(r *harness) {
			r.awaitServed(newVersion)
			for _, u := range r.engines() {
				r.must(u.Post(r.ctx, "/crash", nil))
			}
		}},
		"order-read-back/upstream-frozen": {after: func(r *harness) {
			r.awaitServed(newVersion)
			r.freezeDecode()
			r.thawDecode()
			sendOutdatedOrders(r)
		}},
		"order-read-back/weight-store-slow": {after: func(r *harness) {
			r.awaitServed(newVersion)
			r.must(testbed.SetFaults(r.ctx, r.Weights, weights.Faults{Slow: 30}, 0))
			sendOutdatedOrders(r)
		}},
		"order-read-back/data-centre-cut": {after: func(r *harness) {
			r.SetPeerMode("dc1", "dc2", testbed.Cut)
			sendOutdatedOrders(r)
		}},
		"order-read-back/late-order":    {after: sendOutdatedOrders},
		"order-read-back/daemon-killed": {after: func(r *harness) { r.awaitServed(newVersion); r.steward(r.Daemons[1]).Kill(); sendOutdatedOrders(r) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, mixedFencing(t))
			r.awaitServed(oldVersion)
			if c.before != nil {
				c.before(r)
			}
			r.publishAndWait(setNewVersion)
			if c.after != nil {
				c.after(r)
			}
			r.awaitServed(newVersion)
			r.startStream(r.Daemons[1], completion{prompt(0), shortAnswer}).checkComplete()
		})
	}
}

// delayOrders delays the first order to each decode engine for longer than it takes to
// kill or freeze its steward.
func delayOrders(r *harness) {
	r.setEngineFaults(engine.Faults{Delay: []string{engineapi.PathOrders}, DelayMS: 1500}, 1, testbed.PoolDecode)
}

// sendOutdatedOrders sends every engine an outdated order after the engine serves the new
// version and its steward has read that state. Only engines that ignore fencing numbers
// may accept it.
func sendOutdatedOrders(r *harness) {
	r.awaitServed(newVersion)
	for _, u := range r.engines() {
		r.awaitStateReads(u)
		if accepted, checksFence := r.sendOutdatedOrder(u), u.Pool == testbed.PoolPrefill; accepted == checksFence {
			r.t.Errorf("%s accepted an outdated order: %t", u.Name, accepted)
		}
	}
}

// awaitStateReads waits until an engine's state has been read two more times. To count the
// reads, it sets a fault that delays two reads by 1 ms and waits until the fault is used up.
func (r *harness) awaitStateReads(u *testbed.Upstream) {
	r.t.Helper()
	counted := engine.Faults{Delay: []string{engineapi.PathState}, DelayMS: 1}
	r.must(testbed.SetFaults(r.ctx, u.Process, counted, 2))
	r.eventually("the steward reads the state of "+u.Name, func() error {
		if !r.faultsUsedUp(u) {
			return errors.New("not yet")
		}
		return nil
	})
}
