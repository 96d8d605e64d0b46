package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/platform/platformapi"
)

// The words of the platform's list.
const (
	kindEntry    = "entry"
	kindUpstream = "upstream"
	stateLeaving = "leaving"
)

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
	client := platform.NewInstances(p.InstancesURL, w.router.platformClient())
	ticker := time.NewTicker(p.InstancesEvery)
	defer ticker.Stop()
	for {
		w.read(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *instanceWatch) read(ctx context.Context, client *platform.InstancesClient) {
	ctx, cancel := context.WithTimeout(ctx, w.router.settings.Platform.Timeout)
	defer cancel()
	list, err := client.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.router.logger.WithError(err).Debug("instance list not read")
		}
		return
	}
	w.take(time.Now(), list)
}

func (w *instanceWatch) take(now time.Time, list []platformapi.Instance) {
	var seeds, leaving []string
	for _, i := range list {
		switch {
		case i.Kind == kindEntry:
			seeds = append(seeds, i.Address)
		case i.Kind == kindUpstream && i.State == stateLeaving:
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
