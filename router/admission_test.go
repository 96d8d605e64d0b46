package router

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/settings"
)

// Guards against daemons that choose different coordinators for a pool although they know the same
// readers, and against a coordinator that changes when a reader of no concern to the pool is lost.
func TestChooseCoordinator(t *testing.T) {
	readers := []relay.Peer{{Instance: "a", Address: "a:1"}, {Instance: "b", Address: "b:1"}, {Instance: "c", Address: "c:1"}}
	chosen := map[string]bool{}
	for _, pool := range []string{"m/decode", "n/decode", "o/decode", "p/decode", "q/decode", "r/decode", "s/decode", "t/decode"} {
		want, ok := chooseCoordinator(pool, readers)
		reversed := slices.Clone(readers)
		slices.Reverse(reversed)
		if got, _ := chooseCoordinator(pool, reversed); !ok || got != want {
			t.Errorf("%s: %+v and %+v", pool, want, got)
		}
		for _, lost := range readers {
			left := slices.DeleteFunc(slices.Clone(readers), func(p relay.Peer) bool { return p == lost })
			if got, _ := chooseCoordinator(pool, left); lost.Instance != want.Instance && got != want {
				t.Errorf("%s: %+v without %s, %+v with it", pool, got, lost.Instance, want)
			}
		}
		chosen[want.Instance] = true
	}
	if len(chosen) != len(readers) {
		t.Errorf("only %v are chosen", chosen)
	}
	if _, ok := chooseCoordinator("m/decode", nil); ok {
		t.Error("a coordinator without readers")
	}
}

// Guards against turns for models whose requests all have one rank, which are to be served as without
// them.
func TestAdmissionModes(t *testing.T) {
	plain, ranked := bundle.Model{}, bundle.Model{Ranks: []int{0, 2}}
	for mode, want := range map[string][2]bool{settings.AdmissionRanked: {false, true}, settings.AdmissionAlways: {true, true}} {
		o := orderedAdmission{always: mode == settings.AdmissionAlways}
		if got := [2]bool{o.Enabled(plain), o.Enabled(ranked)}; got != want {
			t.Errorf("%s: %v, want %v", mode, got, want)
		}
	}
	a := &Attached{}
	a.settings.Store(settings.AttachedDefaults())
	if a.requestAdmission() != nil {
		t.Error("admission without a relay address")
	}
}

// Guards against daemons that do not find the coordinator of a pool: requests of all daemons wait
// there while engines are full, and are served when they have room.
func TestDaemonsFindCoordinator(t *testing.T) {
	shared := newAttachedSite(t)
	var daemons []*attachedFleet
	var seeds []string
	for _, name := range []string{"daemon0", "daemon1", "daemon2"} {
		d := &attachedFleet{t: t, site: shared.site, upstreams: shared.upstreams, connect: shared.connect}
		d.start(func(s *settings.Attached) {
			s.Instance.Name = name
			s.Relay = settings.Relay{Listen: "127.0.0.1:0", Seeds: seeds}
			s.Admission.Mode = settings.AdmissionAlways
		})
		seeds = append(seeds, d.daemon.roster.Self().Address)
		daemons = append(daemons, d)
	}
	shared.setFaults("d0 d1", site.Faults{Full: true})
	const pool = site.EngineSet + "/decode"
	ctx, leave := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(func() {
			for ctx.Err() == nil { // a request gives up before the others are asked on a busy machine
				d.ask(ctx, site.PathDraft+"x", "waits at "+d.daemon.settings.Load().Instance.Name)
			}
		})
	}
	for _, d := range daemons[1:] { // the first one has no seeds, and so knows no reader in a small fleet
		waittest.Until(t, "the daemon knows that requests wait", func() bool { return d.daemon.admission.Contended(pool, 9) })
	}
	shared.setFaults("d0 d1", site.Faults{})
	leave()
	wg.Wait()
	for _, d := range daemons {
		id := "served at " + d.daemon.settings.Load().Instance.Name
		if got := d.ask(t.Context(), site.PathDraft+"x", id); got.err != nil || got.status != http.StatusOK || got.body != site.Stream(id, streamEvents) {
			t.Errorf("%s: %+v", id, got)
		}
	}
	shared.waitNothingHeld()
}
