package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// BenchmarkDue measures the cost of a new bundle ("set") and of a tick ("due") on one
// of 370 daemons that share 12,000 upstreams.
func BenchmarkDue(b *testing.B) {
	now := time.Unix(1000, 0)
	t := members.NewTable(members.Config{Node: wire.NodeID{Instance: "entry-000", Incarnation: 1}, DataCentre: "dc-0"}, now)
	for i := 1; i < 370; i++ {
		t.HandleHeartbeat(now, wire.Heartbeat{Node: wire.NodeID{Instance: fmt.Sprintf("entry-%03d", i), Incarnation: 1}, Seq: 1, DataCentre: fmt.Sprintf("dc-%d", i%8)})
	}
	t.Tick(now)
	content := &bundle.Bundle{Upstreams: map[string]bundle.Upstream{}, Pools: map[string]bundle.Pool{}, Models: map[string]bundle.Model{}}
	for i := range 18 {
		content.Pools[fmt.Sprintf("p-%d", i)] = bundle.Pool{Role: bundle.RolePrefill}
		content.Pools[fmt.Sprintf("d-%d", i)] = bundle.Pool{Role: bundle.RoleDecode}
		content.Models[fmt.Sprintf("m-%d", i)] = bundle.Model{Version: "1", PrefillPool: fmt.Sprintf("p-%d", i), DecodePool: fmt.Sprintf("d-%d", i)}
	}
	for i := range 12000 {
		content.Upstreams[fmt.Sprintf("upstream-%05d", i)] = bundle.Upstream{Pool: fmt.Sprintf("d-%d", i%18), DataCentre: fmt.Sprintf("dc-%d", i%8), Address: "a", State: bundle.StateServing}
	}
	p := NewPlanner(DefaultConfig())
	b.Run("set", func(b *testing.B) {
		for i := uint64(1); b.Loop(); i++ {
			p.SetVersion(&bundle.Version{Number: i, Bundle: content})
		}
	})
	v := t.View()
	b.Run("due", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(100 * time.Millisecond)
			p.Due(now, v.Generation(), v.IsSteward)
		}
	})
}
