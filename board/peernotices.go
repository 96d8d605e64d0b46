package board

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// peerNotices is what each life of each peer last said of leaving upstreams.
type peerNotices map[wire.NodeID]peerNotice

type peerNotice struct {
	at    time.Time
	names []string
}

// HeardPeer takes the notices of one heartbeat of a peer, all that it has. What the
// same life of the peer said before and leaves out now is taken back, unless another
// peer still says it.
//
// What goes wrong otherwise: an upstream leaves and restarts within seconds; the
// peer that heard of the leaving sees the restart and stops telling, but its last
// word holds here for PeerNoticeLife. One would notice no-upstream for a minute in
// front of upstreams that serve. A peer that is silent takes nothing back: its word
// must outlive it, as it may have been the only one that knew.
func (b *Board) HeardPeer(now time.Time, peer wire.NodeID, names []string) {
	for _, name := range names {
		b.Leaving(now, name, FromPeer)
	}
	before := b.peers[peer].names
	b.peers.set(now, peer, names, b.cfg.PeerNoticeLife)
	for _, name := range before {
		if e := b.entries[name]; e != nil && !b.peers.any(name) {
			e.notices[FromPeer] = time.Time{}
			b.touch(e, true)
		}
	}
}

// set replaces a peer's notices and forgets those that have lapsed.
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

// any says whether some peer tells that an upstream is leaving.
func (p peerNotices) any(name string) bool {
	for _, n := range p {
		if slices.Contains(n.names, name) {
			return true
		}
	}
	return false
}
