package router

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// streamInstances is the stream of the daemon's seed that spreads the reads.
const streamInstances uint64 = 100

const (
	// entryBytes is about what one entry costs; BenchmarkInstanceList measures it.
	entryBytes = 115
	// listRate bounds what reading the list costs over time, in bytes a second: a
	// twentieth of the 20 KB/s that a daemon may spend for control.
	listRate = 1000
	// smallList is the number of entries up to which the settings' interval holds.
	smallList = 32
)

// listPause returns the time until the next read of a list of n entries, which
// varies by a tenth, so that the daemons of a data centre read it in turn; what
// one reads of leaving upstreams its heartbeats pass on.
//
// What goes wrong: the list grows with the whole fleet. At 12,370 instances a
// read each second is 1.4 MB/s and 3% of a core for each daemon; one would notice the platform's
// list service slow down, and each daemon far over its share for control.
func listPause(every time.Duration, n int, rng *rand.Rand) time.Duration {
	beyond := max(0, n-smallList)
	d := max(every, time.Duration(beyond)*entryBytes*time.Second/listRate)
	return d - d/10 + time.Duration(rng.Int64N(int64(d/5)+1))
}

// instanceWatch reads the platform's list of instances. The list lags, so it
// is a hint: it names addresses where peers may be and upstreams that leave,
// and proves nothing about who lives. It is a supervise.Service.
type instanceWatch struct {
	router *Router
	seeds  atomic.Pointer[[]string]
}

func newInstanceWatch(r *Router) *instanceWatch { return &instanceWatch{router: r} }

// Name implements supervise.Service.
func (w *instanceWatch) Name() string { return "instances" }

// Run implements supervise.Service.
func (w *instanceWatch) Run(ctx context.Context) error {
	p := w.router.settings.Platform
	if p.InstancesURL == "" {
		<-ctx.Done()
		return nil
	}
	client := infra.NewInstances(p.InstancesURL, w.router.platformClient())
	rng := w.router.source(streamInstances)
	size := 0
	for {
		if n, ok := w.read(ctx, client); ok {
			size = n
		}
		if !clock.Sleep(ctx, listPause(p.InstancesEvery, size, rng)) {
			return nil
		}
	}
}

// read takes one list and returns its length; ok is false when it was not read.
func (w *instanceWatch) read(ctx context.Context, client *infra.InstancesClient) (n int, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, w.router.settings.Platform.Timeout)
	defer cancel()
	list, err := client.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.router.logger.WithError(err).Debug("instance list not read")
		}
		return 0, false
	}
	w.take(time.Now(), list)
	return len(list), true
}

func (w *instanceWatch) take(now time.Time, list []infraapi.Instance) {
	var seeds, leaving []string
	for _, i := range list {
		switch {
		case i.Kind == infraapi.KindEntry:
			seeds = append(seeds, i.Address)
		case i.Kind == infraapi.KindUpstream && i.State == infraapi.StateLeaving:
			leaving = append(leaving, i.Name)
		}
	}
	w.seeds.Store(&seeds)
	if len(leaving) == 0 {
		return
	}
	w.router.holder.Update(func(b *board.Board) {
		for _, name := range leaving {
			b.Leaving(now, name, board.FromInstances)
		}
	})
}

// peerSeeds returns the addresses where daemons may listen.
func (w *instanceWatch) peerSeeds() []string {
	seeds := w.router.settings.Peers.Seeds
	if list := w.seeds.Load(); list != nil {
		seeds = append(seeds[:len(seeds):len(seeds)], *list...)
	}
	return seeds
}
