package board

import "time"

// LeavingSource says who told that an upstream is leaving.
type LeavingSource uint8

// The sources besides the bundle itself, whose state needs no notice.
const (
	// FromBundle is a bundle record seen before it is in force.
	FromBundle LeavingSource = iota
	// FromInstances is the platform's instance list.
	FromInstances
	// FromUpstream is the upstream's own answer or load.
	FromUpstream
	// FromPeer is another daemon's heartbeat.
	FromPeer

	sources = 4
)

// String returns the name used for operators.
func (s LeavingSource) String() string {
	return [sources]string{"bundle", "instances", "upstream", "peer"}[s]
}

// notices are the times at which each source said that an upstream is
// leaving, the first time for the bundle and the instance list, the last time for
// the upstream and peers; zero when it did not. They hold until the bundle in force says serving
// with an entry that changed, or the upstream's incarnation changes; only a
// peer's notice also lapses when it is not repeated. A version that changes
// something else clears nothing: versions come every few seconds, and each
// would otherwise send new work to every leaving upstream until it refused.
type notices [sources]time.Time

func (n *notices) any() bool { return *n != notices{} }

func (n *notices) clear() { *n = notices{} }

// first returns the source of the oldest notice, or false without one.
func (n *notices) first() (source LeavingSource, ok bool) {
	for s, at := range n {
		if !at.IsZero() && (!ok || at.Before(n[source])) {
			source, ok = LeavingSource(s), true
		}
	}
	return source, ok
}

// firstHand says whether this daemon has a notice that is not from a peer.
func (n *notices) firstHand() bool {
	return !n[FromBundle].IsZero() || !n[FromInstances].IsZero() || !n[FromUpstream].IsZero()
}

// lapses returns when the peers' notice will lapse; zero when there is none.
func (n *notices) lapses(cfg Config) time.Time {
	if n[FromPeer].IsZero() {
		return time.Time{}
	}
	return n[FromPeer].Add(cfg.PeerNoticeLife)
}

// expireNotices drops the peers' notice when it was not repeated. Without that,
// one that a peer sent once, from before a restart that this daemon has seen,
// would keep the upstream idle here for good.
func (e *entry) expireNotices(now time.Time, cfg Config) {
	if due(e.notices.lapses(cfg), now) {
		e.notices[FromPeer] = time.Time{}
	}
}

// Leaving takes a notice that an upstream is leaving. Snapshots leave it out from
// then on.
func (b *Board) Leaving(now time.Time, upstream string, source LeavingSource) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	news := !e.notices.any()
	if e.notices[source].IsZero() || source == FromPeer || source == FromUpstream {
		e.notices[source] = now
	}
	if news {
		b.touch(e, true)
	}
}

// LeavingNotices returns, in order, the upstreams that this daemon itself heard
// are leaving, for its heartbeats. Notices of peers are not passed on: two
// daemons would keep telling each other what its source took back. Neither are
// states of the bundle in force, which spreads by itself.
func (b *Board) LeavingNotices() []string {
	var out []string
	for _, name := range b.names {
		if b.entries[name].notices.firstHand() {
			out = append(out, name)
		}
	}
	return out
}

// servedSince takes a steward's row that shows an upstream serving at a time. An
// upstream that says it is leaving does not take that back in the same life; so
// when it served well after its own notice, it restarted, which a daemon that
// sends it nothing would never hear from it directly.
func (b *Board) servedSince(e *entry, at time.Time) {
	own := e.notices[FromUpstream]
	if own.IsZero() || !at.After(own.Add(b.cfg.RestartSlack)) {
		return
	}
	e.notices[FromUpstream] = time.Time{}
	b.touch(e, true)
}
