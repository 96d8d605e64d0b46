package board

import "time"

// LeavingSource says who told that an upstream is leaving.
type LeavingSource uint8

// The sources besides the bundle itself, whose state needs no word.
const (
	// FromBundle is a bundle record seen before it is in force.
	FromBundle LeavingSource = iota
	// FromInstances is the platform's instance list.
	FromInstances
	// FromUpstream is the upstream's own answer or load.
	FromUpstream
	// FromPeer is another daemon's word.
	FromPeer

	sources = 4
)

// String returns the name used for operators.
func (s LeavingSource) String() string {
	return [sources]string{"bundle", "instances", "upstream", "peer"}[s]
}

// words are the times at which each source said that an upstream is
// leaving, the first time for the bundle and the instance list, the last time for
// the upstream and peers; zero when it did not. They hold until the bundle in force says serving
// with an entry that changed, or the upstream's incarnation changes; only a
// peer's word also lapses when it is not repeated. A version that changes
// something else clears nothing: versions come every few seconds, and each
// would otherwise send new work to every leaving upstream until it refused.
type words [sources]time.Time

func (w *words) any() bool { return *w != words{} }

func (w *words) clear() { *w = words{} }

// first returns the source whose word is the oldest, or false without a word.
func (w *words) first() (source LeavingSource, ok bool) {
	for s, at := range w {
		if !at.IsZero() && (!ok || at.Before(w[source])) {
			source, ok = LeavingSource(s), true
		}
	}
	return source, ok
}

// firstHand says whether this daemon heard a word itself, not from a peer.
func (w *words) firstHand() bool {
	return !w[FromBundle].IsZero() || !w[FromInstances].IsZero() || !w[FromUpstream].IsZero()
}

// lapses returns when a peer's word will lapse; zero when there is none.
func (w *words) lapses(cfg Config) time.Time {
	if w[FromPeer].IsZero() {
		return time.Time{}
	}
	return w[FromPeer].Add(cfg.PeerWordLife)
}

// expireWords drops a peer's word that was not repeated. Without that, a word
// that a peer told once, from before a restart that this daemon has seen, would
// keep the upstream idle here for good.
func (e *entry) expireWords(now time.Time, cfg Config) {
	if due(e.words.lapses(cfg), now) {
		e.words[FromPeer] = time.Time{}
	}
}

// Leaving takes a word that an upstream is leaving. Snapshots leave it out from
// then on.
func (b *Board) Leaving(now time.Time, upstream string, source LeavingSource) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	news := !e.words.any()
	if e.words[source].IsZero() || source == FromPeer || source == FromUpstream {
		e.words[source] = now
	}
	if news {
		b.touch(e, true)
	}
}

// LeavingWords returns, in order, the upstreams that this daemon itself heard
// are leaving, for its heartbeats. Words of peers are not passed on: two daemons
// would keep telling each other a word that its source took back. Neither are
// states of the bundle in force, which spreads by itself.
func (b *Board) LeavingWords() []string {
	var out []string
	for _, name := range b.names {
		if b.entries[name].words.firstHand() {
			out = append(out, name)
		}
	}
	return out
}

// servedSince takes a steward's word that an upstream was serving at a time. An
// upstream that says it is leaving does not take that back in the same life; so
// when it served well after its own word, it restarted, which a daemon that
// sends it nothing would never hear from it directly.
func (b *Board) servedSince(e *entry, at time.Time) {
	own := e.words[FromUpstream]
	if own.IsZero() || !at.After(own.Add(b.cfg.RestartSlack)) {
		return
	}
	e.words[FromUpstream] = time.Time{}
	b.touch(e, true)
}
