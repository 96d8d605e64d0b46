package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	keys "github.com/corianderturn/corianderturn/claims"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// The size of the largest deployment that the daemons are designed for, as in
// docs/CAPACITY.md.
const (
	designDaemons     = 370
	designReplicas    = 12000
	designDataCentres = 8
	designTeams       = 6400
	designModels      = 18
	// designKeys is the number of idempotency keys that one of 64 shards holds: those of
	// an hour at 970 claims/s.
	designKeys = 970 * 3600 / 64
)

// designBundle returns a bundle with the teams, models, pools and upstreams of the
// design size. A quarter of the upstreams are prefill engines, the rest decode engines.
func designBundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Models: map[string]bundle.Model{}, Pools: map[string]bundle.Pool{},
		Upstreams: map[string]bundle.Upstream{}, Teams: map[string]bundle.Team{},
	}
	for i := range designTeams {
		digest := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		b.Teams[fmt.Sprintf("team-%d", i)] = bundle.Team{KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1, Class: bundle.Draft}
	}
	for i := range designModels {
		b.Pools[fmt.Sprintf("p-%d", i)] = bundle.Pool{Role: bundle.RolePrefill}
		b.Pools[fmt.Sprintf("d-%d", i)] = bundle.Pool{Role: bundle.RoleDecode, Slots: 20}
	}
	for i := range designReplicas {
		role := "d"
		if i%4 == 0 {
			role = "p"
		}
		b.Upstreams[fmt.Sprintf("upstream-%05d", i)] = bundle.Upstream{
			Pool: fmt.Sprintf("%s-%d", role, i%designModels), DataCentre: fmt.Sprintf("dc-%d", i/4%designDataCentres),
			Address: fmt.Sprintf("10.%d.%d.1:8000", i>>8, i&255), State: bundle.StateServing,
		}
	}
	return b
}

// designMembers returns a member table with a heartbeat of every daemon.
func designMembers() any {
	now := time.Unix(1000, 0)
	t := members.NewTable(members.Config{Node: wire.NodeID{Instance: "entry-000", Incarnation: 1}, DataCentre: "dc-0"}, now)
	for i := 1; i < designDaemons; i++ {
		t.HandleHeartbeat(now, wire.Heartbeat{
			Node: wire.NodeID{Instance: fmt.Sprintf("entry-%03d", i), Incarnation: 1}, Seq: 1,
			DataCentre: fmt.Sprintf("dc-%d", i%designDataCentres), Address: fmt.Sprintf("10.0.%d.%d:8081", i>>8, i&255),
		})
	}
	t.Tick(now)
	return t
}

// designBoard returns a board and its snapshot. The board has a load report of every
// upstream, and prefix sets of the prefill engines in the given number of data centres.
func designBoard(dataCentres int) any {
	b, now := board.New(board.Config{}), time.Unix(1000, 0)
	v := &bundle.Version{Number: 1, Bundle: designBundle()}
	b.SetVersion(now, v)
	for name, u := range v.Bundle.Upstreams {
		b.ApplyReport(now, name, engineapi.Load{}, 0)
		var dc int
		_, _ = fmt.Sscanf(u.DataCentre, "dc-%d", &dc)
		if u.Pool[0] == 'p' && dc < dataCentres {
			b.RecordPrefill(now, name, board.PrefillResult{Prefix: []uint64{1}})
		}
	}
	return []any{b, b.Snapshot(now)}
}

// designIndex returns the claims index of one shard with designKeys claims.
func designIndex() any {
	x := keys.NewIndex(keys.IndexConfig{Lifetime: time.Hour, MaxKeys: 2 * designKeys, AnswerBytes: 4 << 20})
	for i := range designKeys {
		batch := keys.Batch{Claims: []keys.Claim{{
			ID:  keys.ClaimID{Node: wire.NodeID{Instance: "entry-000", Incarnation: 1}, Seq: uint64(i + 1)},
			Key: keys.NewKey("team", fmt.Sprint(i)), RequestID: fmt.Sprintf("%032d", i),
		}}}
		data, err := batch.Encode()
		if err != nil {
			panic(err)
		}
		x.Apply(infraapi.Record{Offset: uint64(i), Data: data, TimeMS: 1})
	}
	return x
}

// attachedState returns what a daemon on the users' platform keeps of n upstreams: the cache
// from which it serves followers, the registry and the board with its snapshot. The upstreams
// are engines in five data centres, a third of them prefill engines.
func attachedState(n int) any {
	const dataCentres = 5
	now := time.Unix(1000, 0)
	cache, registry := relay.NewFeedCache(), fleet.NewRegistry("front-0", "dc-0", time.Minute)
	_, _ = registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"llm": {Engine: &fleet.Engine{Slots: 12}}}})
	batch := fleet.Batch{Whole: true}
	var list []*fleet.Registration
	for i := range n {
		reg := &fleet.Registration{
			Name: fmt.Sprintf("upstream-%05d", i), Service: strings.Clone("llm"), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
			Address: fmt.Sprintf("10.%d.%d.1:8000", i>>8, i&255), Role: fleet.RoleDecode, Slots: 12,
		}
		if i%3 == 0 {
			reg.Role = fleet.RolePrefill
		}
		list = append(list, reg)
		batch.Changes = append(batch.Changes, fleet.Change{Put: reg})
	}
	cache.Add(now, fleet.FeedUpstreams, logpos.Position{}, batch)
	registry.Replace(now, list, false)
	view, _ := registry.View()
	b := board.New(board.Config{})
	b.SetVersion(now, view.Bundle)
	return []any{cache, registry, b, b.Snapshot(now)}
}

// BenchmarkAttachedState reports the live heap, in MB, that a daemon on the users' platform
// needs for its upstreams.
func BenchmarkAttachedState(b *testing.B) {
	for _, n := range []int{2500, 5000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var heap float64
			for b.Loop() {
				before := liveHeap()
				kept := attachedState(n)
				heap = liveHeap() - before
				runtime.KeepAlive(kept)
			}
			b.ReportMetric(heap/1e6, "MB")
		})
	}
}

// BenchmarkState reports the live heap, in MB, of the data that a daemon holds in memory
// at the design size.
func BenchmarkState(b *testing.B) {
	for _, s := range []struct {
		name string
		make func() any
	}{
		{"bundle", func() any { return designBundle() }},
		{"members", designMembers},
		{"board-sets-in-1-centre", func() any { return designBoard(1) }},
		{"board-sets-in-8-centres", func() any { return designBoard(designDataCentres) }},
		{"claims-shard", designIndex},
	} {
		b.Run(s.name, func(b *testing.B) {
			var heap float64
			for b.Loop() {
				before := liveHeap()
				kept := s.make()
				heap = liveHeap() - before
				runtime.KeepAlive(kept)
			}
			b.ReportMetric(heap/1e6, "MB")
		})
	}
}

// liveHeap returns the bytes of live heap objects. The second collection frees objects
// whose finalizers ran after the first.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
