package board

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// peerNotices holds the last notices of each peer about leaving upstreams. A restarted
// peer counts as a new one, because wire.NodeID includes the incarnation.
type peerNotices map[wire.NodeID]peerNotice

type peerNotice struct {
	at    time.Time
	names []string
}

// ApplyPeerNotices processes the notices in one heartbeat of a peer; names is its complete
// list of leaving upstreams. An upstream that the same incarnation of the peer listed
// before and omits now is no longer leaving, unless another peer still lists it.
//
// Without this withdrawal, an upstream that left and restarted within seconds would get
// no requests from this daemon until its notice expired after PeerNoticeLifetime, a minute
// by default, although the peer had already seen the restart. Callers would get
// no-upstream errors while the upstreams are serving. A peer that sends no heartbeats
// withdraws nothing: its notice must outlive it, because it may have been the only
// daemon to receive it.
func (b *Board) ApplyPeerNotices(now time.Time, peer wire.NodeID, names []string) {
	for _, name := range names {
		b.MarkLeaving(now, name, FromPeer)
	}
	previous := b.peers[peer].names
	b.peers.set(now, peer, names, b.cfg.PeerNoticeLifetime)
	for _, name := range previous {
		if e := b.entries[name]; e != nil && !b.peers.contains(name) {
			e.notices[FromPeer] = time.Time{}
			b.markChanged(e, true)
		}
	}
}

// set replaces the notices of a peer and removes those of all peers that have expired.
func (p peerNotices) set(now time.Time, peer wire.NodeID, names []string, life time.Duration) {
	if len(names) == 0 {
		delete(p, peer)
	} else {
		p[peer] = peerNotice{at: now, names: slices.Clone(names)}
	}
	for node, n := range p {
		if now.Sub(n.at) >= life {
			delete(p, node)
		}
	}
}

// contains reports whether any peer lists the upstream as leaving.
func (p peerNotices) contains(name string) bool {
	for _, n := range p {
		if slices.Contains(n.names, name) {
			return true
		}
	}
	return false
}
