package board

import "time"

// LeavingSource is the origin of a notice that an upstream is leaving.
type LeavingSource uint8

// The sources of notices. An upstream whose state is leaving in the bundle in force
// needs no notice.
const (
	// FromBundle is a record of a bundle version that is not in force yet.
	FromBundle LeavingSource = iota
	// FromInstances is the platform's instance list.
	FromInstances
	// FromUpstream is an answer or a load report of the upstream itself.
	FromUpstream
	// FromPeer is a heartbeat or a board row of another daemon.
	FromPeer
	// FromAddress is an answer of another upstream that has the address now.
	FromAddress

	sourceCount = 5
)

// String returns the name shown to operators.
func (s LeavingSource) String() string {
	return [sourceCount]string{"bundle", "instances", "upstream", "peer", "address"}[s]
}

// notices holds, for each source, the time of its notice that the upstream is leaving;
// zero if there is none. For the bundle and the instance list this is the first notice,
// for the upstream and the peers the last.
//
// All notices are cleared when the upstream's incarnation changes, and all but its own
// when a new bundle version changes its entry and its state there is serving: what an
// upstream says of itself outweighs a version. A peer's notice also ends when peers withdraw it or stop repeating it (ApplyPeerNotices,
// expireNotices), and the upstream's own when a later load report shows a restart
// (clearAfterRestart). Bundle versions that change something else must not clear
// notices: they come every few seconds, and each would send new requests to every
// leaving upstream until it refused them.
type notices [sourceCount]time.Time

func (n *notices) any() bool { return *n != notices{} }

func (n *notices) clear() { *n = notices{} }

// clearOthers clears all notices but the upstream's own.
func (n *notices) clearOthers() { *n = notices{FromUpstream: n[FromUpstream]} }

// earliest returns the source of the oldest notice, or false if there is none.
func (n *notices) earliest() (source LeavingSource, ok bool) {
	for s, at := range n {
		if !at.IsZero() && (!ok || at.Before(n[source])) {
			source, ok = LeavingSource(s), true
		}
	}
	return source, ok
}

// direct reports whether there is a notice from a source other than a peer.
func (n *notices) direct() bool {
	return !n[FromBundle].IsZero() || !n[FromInstances].IsZero() || !n[FromUpstream].IsZero() || !n[FromAddress].IsZero()
}

// peerExpiry returns when the peers' notice expires; zero if there is none.
func (n *notices) peerExpiry(cfg Config) time.Time {
	if n[FromPeer].IsZero() {
		return time.Time{}
	}
	return n[FromPeer].Add(cfg.PeerNoticeLifetime)
}

// expireNotices drops the peers' notice if it was not repeated in time. A peer may have
// sent it only once, before a restart of the upstream that this daemon has already
// seen; without an expiry, this daemon would never use the upstream again.
func (e *entry) expireNotices(now time.Time, cfg Config) {
	if due(e.notices.peerExpiry(cfg), now) {
		e.notices[FromPeer] = time.Time{}
	}
}

// MarkLeaving records a notice that an upstream is leaving. Snapshots no longer list it
// from then on.
func (b *Board) MarkLeaving(now time.Time, upstream string, source LeavingSource) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	first := !e.notices.any()
	if e.notices[source].IsZero() || source == FromPeer || source == FromUpstream {
		e.notices[source] = now
	}
	if first {
		b.markChanged(e, true)
	}
}

// LeavingNotices returns the sorted names of the upstreams for which this daemon has a
// notice from a source other than a peer. They are sent with its heartbeats. Notices of
// peers are not forwarded, because two daemons would keep renewing each other's notice
// after its source has withdrawn it. Upstreams that are leaving in the bundle in force
// are omitted, because every daemon gets the bundle itself.
func (b *Board) LeavingNotices() []string {
	var out []string
	for _, name := range b.names {
		if b.entries[name].notices.direct() {
			out = append(out, name)
		}
	}
	return out
}

// clearAfterRestart processes a steward's report that an upstream was serving at the
// given time. An upstream never withdraws its own notice within one incarnation, so if
// it served more than RestartSlack after the notice, it has restarted, and the notice
// is cleared. A daemon that sends the upstream no requests would not learn of the
// restart otherwise.
func (b *Board) clearAfterRestart(e *entry, at time.Time) {
	own := e.notices[FromUpstream]
	if own.IsZero() || !at.After(own.Add(b.cfg.RestartSlack)) {
		return
	}
	e.notices[FromUpstream] = time.Time{}
	b.markChanged(e, true)
}
