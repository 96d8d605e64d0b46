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

// rngInstances is the stream number (see newRand) of the random generator that randomises
// the interval between reads of the instance list.
const rngInstances uint64 = 100

const (
	// entryBytes is the approximate size of one entry of the platform's instance list, in
	// bytes; BenchmarkInstanceList measures it.
	entryBytes = 115
	// maxListRate bounds the average rate of reading the list, in bytes a second: a
	// twentieth of the 20 KB/s that a daemon may use for control traffic.
	maxListRate = 1000
	// smallListMax is the number of entries up to which the list is read at the interval
	// of the settings, even if that exceeds maxListRate.
	smallListMax = 32
)

// listInterval returns the time until the next read of a list of n entries, randomised
// by plus or minus 10% to spread the reads of the daemons in a data centre. The interval may
// be long: the first daemon that reads that an upstream is leaving announces it in its
// heartbeats, so that the others learn of it before their own next read.
//
// The interval grows with n because at 12,370 instances a read each second would take
// 1.4 MB/s and 3% of a core on each daemon. This would slow down the platform's list service
// and exceed the daemon's bandwidth limit for control traffic many times.
func listInterval(minInterval time.Duration, n int, rng *rand.Rand) time.Duration {
	excess := max(0, n-smallListMax)
	d := max(minInterval, time.Duration(excess)*entryBytes*time.Second/maxListRate)
	return d - d/10 + time.Duration(rng.Int64N(int64(d/5)+1))
}

// instanceWatcher polls the platform's list of instances. The list may be outdated, so
// it is not used to detect failures; it only provides addresses at which peers may listen,
// and the names of upstreams that are leaving, that is, shutting down. instanceWatcher is a
// supervise.Service.
type instanceWatcher struct {
	router *Router
	seeds  atomic.Pointer[[]string]
}

func newInstanceWatcher(r *Router) *instanceWatcher { return &instanceWatcher{router: r} }

// Name implements supervise.Service.
func (w *instanceWatcher) Name() string { return "instances" }

// Run implements supervise.Service.
func (w *instanceWatcher) Run(ctx context.Context) error {
	platform := w.router.settings.Platform
	if platform.InstancesURL == "" {
		<-ctx.Done()
		return nil
	}
	client := infra.NewInstances(platform.InstancesURL, w.router.platformClient())
	rng := w.router.newRand(rngInstances)
	size := 0
	for {
		if n, ok := w.read(ctx, client); ok {
			size = n
		}
		if !clock.Sleep(ctx, listInterval(platform.InstancesInterval, size, rng)) {
			return nil
		}
	}
}

// read fetches and applies the list once. It returns the number of entries, and false if
// the fetch failed.
func (w *instanceWatcher) read(ctx context.Context, client *infra.InstancesClient) (n int, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, w.router.settings.Platform.Timeout)
	defer cancel()
	list, err := client.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.router.logger.WithError(err).Debug("failed to read the instance list")
		}
		return 0, false
	}
	w.apply(time.Now(), list)
	return len(list), true
}

// apply stores the addresses of the daemons in a list, and marks the upstreams that the list
// reports as leaving.
func (w *instanceWatcher) apply(now time.Time, list []infraapi.Instance) {
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
			b.MarkLeaving(now, name, board.FromInstances)
		}
	})
}

// peerSeeds returns addresses at which other daemons may listen, from the settings and
// from the last list.
func (w *instanceWatcher) peerSeeds() []string {
	seeds := w.router.settings.Peers.Seeds
	if list := w.seeds.Load(); list != nil {
		seeds = append(seeds[:len(seeds):len(seeds)], *list...)
	}
	return seeds
}
