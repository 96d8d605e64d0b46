package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// BenchmarkShare measures what one of 370 daemons does after each change of the
// bundle or of the membership: select its share of 12,000 upstreams.
func BenchmarkShare(b *testing.B) {
	now := time.Unix(1000, 0)
	t := members.NewTable(members.Config{Node: wire.NodeID{Instance: "entry-000", Incarnation: 1}, DataCentre: "dc-0"}, now)
	for i := 1; i < 370; i++ {
		t.HandleHeartbeat(now, wire.Heartbeat{Node: wire.NodeID{Instance: fmt.Sprintf("entry-%03d", i), Incarnation: 1}, Seq: 1, DataCentre: fmt.Sprintf("dc-%d", i%8)})
	}
	t.Tick(now)
	content := &bundle.Bundle{Upstreams: map[string]bundle.Upstream{}}
	for i := range 12000 {
		content.Upstreams[fmt.Sprintf("upstream-%05d", i)] = bundle.Upstream{DataCentre: fmt.Sprintf("dc-%d", i%8)}
	}
	b.ReportAllocs()
	mine := 0
	for b.Loop() {
		mine = len(ownUpstreams(t.View(), content))
	}
	b.ReportMetric(float64(mine), "upstreams")
}
