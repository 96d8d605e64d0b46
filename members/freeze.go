package members

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// checkFreeze notices that this process was stopped: by SIGSTOP, a suspended
// virtual machine or starvation. Then nothing it believes is current: upstreams
// may have left and peers died meanwhile. Silence during the stop was its own,
// so every deadline starts again; heartbeats that wait in socket buffers may be
// as old as the stop, so only an echo of a heartbeat sent since proves a peer.
// Without this one would notice, after each pause of a host, live peers' work
// cancelled, or new work on upstreams that had left long before.
func (t *Table) checkFreeze(now time.Time) {
	if clock.Elapsed(t.view.ticked, now) <= t.cfg.FrozenAfter {
		return
	}
	v := *t.view
	v.ticked, v.since, v.frozen = now, now, true
	t.view = &v
	t.frozenAt = now
	t.askFrom = t.seq + 1
	clear(t.echoes)
	for _, e := range t.entries {
		if e.Liveness != Dead {
			e.heard = now
		}
	}
	t.event(Froze, t.cfg.Node)
}

// hearEcho counts the peers that answered since the freeze and ends it at a
// majority of the own data centre's other live daemons, or of all neighbours
// where it has none.
func (t *Table) hearEcho(now time.Time, hb wire.Heartbeat) {
	if t.frozenAt.IsZero() || hb.Echo < t.askFrom {
		return
	}
	peers := t.refreshers()
	if _, ok := peers[hb.Node.Instance]; !ok {
		return
	}
	t.echoes[hb.Node.Instance] = struct{}{}
	if 2*len(t.echoes) > len(peers) {
		t.thaw()
		t.publish(now)
	}
}

// refreshers returns the peers whose echoes count.
func (t *Table) refreshers() map[string]struct{} {
	own, all := map[string]struct{}{}, map[string]struct{}{}
	for _, m := range t.view.Neighbours() {
		if m.Liveness == Dead {
			continue
		}
		all[m.Node.Instance] = struct{}{}
		if m.DataCentre == t.cfg.DataCentre {
			own[m.Node.Instance] = struct{}{}
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

func (t *Table) thaw() {
	t.frozenAt = time.Time{}
	t.event(Thawed, t.cfg.Node)
}
