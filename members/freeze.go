package members

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// detectFreeze marks the view as frozen if this process did not run for longer
// than FrozenAfter, because of SIGSTOP, a suspended virtual machine or CPU
// starvation. The view is then outdated: upstreams may have left and peers may
// have died in the meantime. No heartbeat could be processed during the freeze,
// so the timeout of every daemon that is not dead starts again. Heartbeats still
// in the socket buffers may have been sent before or during the freeze, so only
// an echo of a heartbeat sent after it proves that a peer is alive. Without this
// check a paused host would cancel the work of live peers, or dispatch requests to
// upstreams that left during the pause.
func (t *Table) detectFreeze(now time.Time) {
	if clock.Elapsed(t.view.lastTick, now) <= t.cfg.FrozenAfter {
		return
	}
	v := *t.view
	v.lastTick, v.validSince, v.frozen = now, now, true
	t.view = &v
	t.frozenAt = now
	t.minEchoSeq = t.seq + 1
	clear(t.echoedBy)
	for _, e := range t.entries {
		if e.Liveness != Dead {
			e.lastProgress = now
		}
	}
	t.addEvent(Froze, t.cfg.Node)
}

// handleEcho records a peer that echoed a heartbeat sent after the freeze. The
// freeze ends once a majority of quorumPeers has done so.
func (t *Table) handleEcho(now time.Time, hb wire.Heartbeat) {
	if t.frozenAt.IsZero() || hb.Echo < t.minEchoSeq {
		return
	}
	peers := t.quorumPeers()
	if _, ok := peers[hb.Node.Instance]; !ok {
		return
	}
	t.echoedBy[hb.Node.Instance] = struct{}{}
	if 2*len(t.echoedBy) > len(peers) {
		t.endFreeze()
		t.publish(now)
	}
}

// quorumPeers returns the instances whose echoes count towards the end of a
// freeze: the neighbours of this data centre that are not dead or, if there are
// none, all neighbours that are not dead.
func (t *Table) quorumPeers() map[string]struct{} {
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

// endFreeze marks the table as no longer frozen; publish updates the view.
func (t *Table) endFreeze() {
	t.frozenAt = time.Time{}
	t.addEvent(Thawed, t.cfg.Node)
}
