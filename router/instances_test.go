package router

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// Guards against each daemon reading megabytes a second of the platform's instance list. The
// list contains every instance, so the interval between two reads must grow with the fleet.
func TestListIntervalBoundsReadRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{0, 24, smallListMax, 100, 1000, designInstances} {
		for range 100 {
			pause := listInterval(time.Second, n, rng)
			if pause < 900*time.Millisecond || n <= smallListMax && pause > 1100*time.Millisecond {
				t.Fatalf("%d entries are read again after %s", n, pause)
			}
			beyond := float64(n-smallListMax) * entryBytes / pause.Seconds()
			if beyond > maxListRate*1.12 {
				t.Fatalf("%d entries each %s are %.0f B/s", n, pause, beyond)
			}
		}
	}
}

// designInstances is the number of instances that the system is designed for (see
// docs/CAPACITY.md): 370 daemons and 12,000 upstreams.
const designInstances = 12370

// BenchmarkInstanceList measures decoding the list of a fleet of designInstances, and its
// size in bytes.
func BenchmarkInstanceList(b *testing.B) {
	var reply infraapi.InstancesReply
	for i := range designInstances {
		reply.Instances = append(reply.Instances, infraapi.Instance{
			Name: fmt.Sprintf("decode-%05d", i), Kind: infraapi.KindUpstream, DataCentre: fmt.Sprintf("region-%d-b", i%8),
			Address: fmt.Sprintf("10.20.%d.%d:9000", i/256, i%256), State: infraapi.StateLive,
		})
	}
	page, err := json.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var got infraapi.InstancesReply
		if err := json.Unmarshal(page, &got); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(page))/designInstances, "B/entry")
	b.ReportMetric(float64(len(page)), "B/list")
}
