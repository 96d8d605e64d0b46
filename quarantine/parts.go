package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Parts of prompts are judged for two situations. One part crashes each upstream that begins to
// answer a prompt with it, in requests that differ in all else; sound requests share their other
// parts with them. And upstreams crash for other reasons, alone or in racks, under all parts that
// are in use.
//
// Three things tell the part that is the cause from the others: no request with it completes; it was
// there each time; and the crashes come one after the other, not all at once. A part that another
// one explains is not refused, nor is a request that has only some of several parts which cannot be
// told apart.

const (
	// partCrashGap is the time after which a crash is always separate from an earlier one. Below it,
	// crashes of several upstreams count as one unless the run began after the earlier crash, so that a
	// rack that fails is a single crash.
	partCrashGap = time.Second
	// tellableWeight is the weight from which on it matters to other daemons that a request with a
	// part completed.
	tellableWeight = quarantineThreshold / 2
)

// evaluateParts sets the group of each part that causes crashes, and returns the crashes attributed
// to these. parts and requests are the suspects among parts and whole requests.
//
// Parts of which no completion is known come first, then those whose last completion is oldest, and
// of equal ones the part with most crashes. A crash attributed to a part does not count for later
// ones.
func evaluateParts(parts, requests []suspect) attributions {
	byRequests, attributed := attributions{}, attributions{}
	for _, s := range requests {
		byRequests.add(s)
	}
	slices.SortFunc(parts, func(a, b suspect) int {
		return cmp.Or(a.completed.Compare(b.completed), cmp.Compare(b.totalWeight, a.totalWeight),
			cmp.Compare(a.meanDuration(), b.meanDuration()), slices.Compare(a.digest[:], b.digest[:]))
	})
	for i, s := range parts {
		s.unattributedWeight = s.partWeight(func(e Crash) bool {
			return !attributed.explains(e, 0) && !byRequests.explains(e, s.totalWeight)
		})
		if s.unattributedWeight < quarantineThreshold {
			continue
		}
		s.group = inseparable(s, parts[i:])
		attributed.add(s)
	}
	return attributed
}

// inseparable returns the digests of the parts that crashed the same upstreams as s, which is one of
// the list.
func inseparable(s suspect, list []suspect) (group []Digest) {
	for _, o := range list {
		if slices.EqualFunc(s.crashes, o.crashes, sameCrash) {
			group = append(group, o.digest)
		}
	}
	return group
}

// sameCrash reports whether two entries' crashes are of the same upstream at the same time.
func sameCrash(a, b Crash) bool {
	return a.Upstream == b.Upstream && a.At.Sub(b.At).Abs() < sameCrashWindow
}

// explains reports whether a crash is attributed to an entry of at least the given weight, whatever
// the durations of the runs: the run with the cause may have been of any request with a part.
func (x attributions) explains(e Crash, totalWeight int) bool {
	return slices.ContainsFunc(x[e.Upstream], func(o attribution) bool {
		return sameCrash(e, o.Crash) && o.totalWeight >= totalWeight
	})
}

// partWeight returns the weight of the crashes for which counts returns true. Of crashes that are not
// separate only the heaviest counts.
func (n *entry) partWeight(counts func(e Crash) bool) (sum int) {
	answering := duringResponseWeight
	if n.similarDurations() {
		answering = beforeResponseWeight
	}
	var from time.Time // of the crashes that count as one
	heaviest := 0
	for _, e := range n.crashes {
		if !counts(e) {
			continue
		}
		weight := beforeResponseWeight
		if e.Answering {
			weight = answering
		}
		if heaviest == 0 || e.At.Sub(from) >= partCrashGap || !e.At.Add(-e.Ran).Before(from) {
			sum += weight
			from, heaviest = e.At, weight
		} else if weight > heaviest {
			sum += weight - heaviest
			heaviest = weight
		}
	}
	return sum
}

// partRefusedAt reports whether a quarantined part is refused now. The time grows with each crash
// that came after a time of refusal.
func (n *entry) partRefusedAt(now time.Time) bool {
	trials := 0
	for i := 1; i < len(n.crashes); i++ {
		if n.crashes[i].At.Sub(n.crashes[i-1].At) >= initialQuarantine {
			trials++
		}
	}
	return trials >= maxTrials || now.Sub(n.lastUpdate()) < initialQuarantine<<trials
}

// RefusesParts reports whether a prompt with these parts is refused now, and because of which part.
func (l *Ledger) RefusesParts(now time.Time, parts []Digest) (cause Digest, crashes int, refused bool) {
	l.evaluate()
	for _, d := range parts {
		n := l.entries[d]
		if n == nil || n.group == nil || !containsAll(parts, n.group) {
			continue
		}
		if crashes, refused := l.Refuses(now, d); refused {
			return d, crashes, true
		}
	}
	return Digest{}, 0, false
}

func containsAll(list, members []Digest) bool {
	return !slices.ContainsFunc(members, func(d Digest) bool { return !slices.Contains(list, d) })
}

// completedAt returns the time of the last known completion of a request or part.
func (l *Ledger) completedAt(d Digest) time.Time {
	if n := l.entries[d]; n != nil {
		return n.completed
	}
	return time.Time{}
}

// tellable reports whether other daemons should know that a request with a part completed.
func (l *Ledger) tellable(d Digest) bool {
	n := l.entries[d]
	return n != nil && n.crashWeight() >= tellableWeight
}

// QuarantinedParts returns the quarantined parts, each with the parts that a request must have to be
// refused.
func (l *Ledger) QuarantinedParts() map[Digest][]Digest {
	l.evaluate()
	out := map[Digest][]Digest{}
	for d, n := range l.entries {
		if n.group != nil {
			out[d] = n.group
		}
	}
	return out
}
