package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

var start = time.Unix(1_800_000_000, 0)

// benchFleet returns a snapshot of n replicas in three data centres, a quarter of them
// prefill engines, nearly full, each with cached prefixes and requests of this daemon.
func benchFleet(n int) (*policy.Snapshot, *board.Inflight) {
	v := &bundle.Version{Number: 1, Bundle: &bundle.Bundle{
		Models:    map[string]bundle.Model{"m": {PrefillPool: "p", DecodePool: "d", KVBytesPerToken: 1000}},
		Pools:     map[string]bundle.Pool{"d": {Slots: 20}, "p": {LinkBytesPerSecond: 1e9}},
		Services:  map[string]bundle.Service{"s": {Pool: "d"}},
		Classes:   map[bundle.Class]bundle.ClassTarget{bundle.Draft: {FirstTokenMillis: 5000, BetweenTokensMillis: 100}},
		Teams:     map[string]bundle.Team{"a": {Weight: 1}},
		Upstreams: map[string]bundle.Upstream{},
		Policy:    bundle.PolicyConfig{UrgentHeadroom: 0.1},
	}}
	for i := range n {
		pool := "d"
		if i%4 == 0 {
			pool = "p"
		}
		v.Bundle.Upstreams[fmt.Sprintf("u%04d", i)] = bundle.Upstream{
			Pool: pool, DataCentre: fmt.Sprintf("dc%d", i%3), State: bundle.StateServing,
		}
	}
	b, in := board.New(board.Config{}), board.NewInflightClock(func() time.Time { return start.Add(time.Millisecond) })
	b.SetVersion(start, v)
	for i := range n {
		name := fmt.Sprintf("u%04d", i)
		b.ApplyReport(start, name, engineapi.Load{Incarnation: 1, Seq: 1, Slots: 20, Active: 15 + i%6, StepMS: 40}, 0)
		b.RecordPrefill(start, name, board.PrefillResult{Prefix: benchPrefix()[:i%125], CachedTokens: 0})
		in.Begin(name, 100)
	}
	return b.Snapshot(start), in
}

// benchPrefix returns the block hashes of a prompt of 2,000 tokens.
func benchPrefix() []uint64 {
	return engineapi.PrefixBlocks("m", string(make([]byte, 2000*engineapi.BytesPerToken)))
}

func benchQuery() policy.Query {
	return policy.Query{
		Team: "a", Class: bundle.Draft, Model: "m", PromptTokens: 2000, MaxTokens: 400, Prefix: benchPrefix(),
		Now: start, Deadline: start.Add(time.Minute), Attempt: 1, DataCentre: "dc0",
	}
}

// BenchmarkDecision measures one decision of each kind. In "full", the reserve policy finds
// every slot taken by this daemon's own requests, which is the slowest case.
func BenchmarkDecision(b *testing.B) {
	for _, kind := range []string{policy.NameReserve, "full", "service", policy.NameRoundRobin, policy.NameLeastLoaded} {
		for _, n := range []int{20, 200, 1500} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				s, in := benchFleet(n)
				p, ok := policy.ByName(kind)
				if !ok {
					p, _ = policy.ByName(policy.NameReserve)
				}
				if kind == "full" {
					for _, r := range s.Pool("d").Replicas() {
						for range r.Slots {
							in.Begin(r.Name, 0)
						}
					}
				}
				q, rng := benchQuery(), rand.New(rand.NewPCG(1, 2))
				b.ReportAllocs()
				for b.Loop() {
					if kind == "service" {
						_, _ = p.PickService(s, in, "s", q, rng)
					} else if _, err := p.Plan(s, in, q, rng); (err != nil) != (kind == "full") {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
