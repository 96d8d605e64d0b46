package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

var t0 = time.Unix(1_800_000_000, 0)

// fakeInflight implements Inflight with fixed values.
type fakeInflight struct {
	requests, tokens map[string]int
	pausable         map[string]int
	links            map[string]time.Time
	teams            map[string]int
	full             map[string]bool
}

func (w fakeInflight) Upstream(name string, _ time.Time) (int, int) {
	return w.requests[name], w.tokens[name]
}
func (w fakeInflight) Full(name string, _ time.Time) bool { return w.full[name] }
func (w fakeInflight) Pausable(name string) int           { return w.pausable[name] }
func (w fakeInflight) LinkFree(name string, from time.Time, _ time.Duration) time.Time {
	if free := w.links[name]; free.After(from) {
		return free
	}
	return from
}
func (w fakeInflight) Team(name string) (team, total, teams int) {
	for _, n := range w.teams {
		total += n
		teams++
	}
	return w.teams[name], total, teams
}

// testFleet is a bundle and its replicas, which a test modifies before it plans.
type testFleet struct {
	bundle   *bundle.Bundle
	replicas []Replica
	prefix   PrefixIndex
	inflight fakeInflight
}

// newFleet returns n decode, n prefill and n service replicas, idle, spread over three data
// centres, with loads reported at t0.
func newFleet(n int) *testFleet {
	f := &testFleet{bundle: &bundle.Bundle{
		Models:   map[string]bundle.Model{"m": {PrefillPool: "p", DecodePool: "d", KVBytesPerToken: 1000}},
		Services: map[string]bundle.Service{"s": {Pool: "s"}},
		Teams:    map[string]bundle.Team{"a": {Weight: 1}, "b": {Weight: 1}},
		Classes: map[bundle.Class]bundle.ClassTarget{
			bundle.Urgent: {FirstTokenMillis: 970, BetweenTokensMillis: 57, Priority: 10},
			bundle.Draft:  {FirstTokenMillis: 4000, BetweenTokensMillis: 100, Priority: 1},
		},
		Policy: bundle.PolicyConfig{GoodputWeight: 1, WastedPrefillWeight: 1, UrgentHeadroom: 0.1},
	}}
	for _, pool := range []string{"d", "p", "s"} {
		for i := range n {
			f.replicas = append(f.replicas, Replica{
				Name: fmt.Sprintf("%s%d", pool, i), DataCentre: fmt.Sprintf("dc%d", i%3), Pool: pool,
				Slots: 20, LoadAt: t0, Weight: 1, LinkBytesPerSecond: 100_000_000,
				Step: DefaultStep, StepMeasured: true, PrefillPerToken: DefaultPrefillPerToken,
			})
		}
	}
	return f
}

// replica returns the replica with the given name.
func (f *testFleet) replica(name string) *Replica {
	for i := range f.replicas {
		if f.replicas[i].Name == name {
			return &f.replicas[i]
		}
	}
	panic(name)
}

// updatePool applies fn to every replica of a pool.
func (f *testFleet) updatePool(pool string, fn func(*Replica)) {
	for i := range f.replicas {
		if f.replicas[i].Pool == pool {
			fn(&f.replicas[i])
		}
	}
}

func (f *testFleet) snapshot() *Snapshot {
	return NewSnapshot(f.bundle, 1, t0, append([]Replica(nil), f.replicas...), f.prefix)
}

// query returns a first attempt of the class that idle engines serve within its targets.
func query(class bundle.Class) Query {
	return Query{
		RequestID: "r", Team: "a", Class: class, Model: "m", PromptTokens: 400, MaxTokens: 100, AnswerTokens: 50,
		Now: t0, Deadline: t0.Add(time.Minute), Attempt: 1, DataCentre: "dc0",
	}
}

func seededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// plan calls Plan of the named policy.
func (f *testFleet) plan(name string, q Query, seed uint64) (Plan, *errkind.Error) {
	p, _ := ByName(name)
	return p.Plan(f.snapshot(), f.inflight, q, seededRand(seed))
}
