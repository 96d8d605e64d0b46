package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Crash is the crash of an upstream while it ran a request.
type Crash struct {
	Upstream string
	// At is the wall-clock time of the daemon that detected the crash.
	At time.Time
	// Answering is set if a part of the response had arrived; Ran is how long the run had lasted.
	Answering bool
	Ran       time.Duration
}

// Weights of a crash. Nearly all runs that are hit by an unrelated crash have begun to respond. A
// request that causes crashes mostly causes them before its response begins, or about the same
// time after its start each time. The threshold is therefore three crashes of these two kinds,
// or four during responses after runs of different durations.
const (
	beforeResponseWeight = 4
	duringResponseWeight = 3
	quarantineThreshold  = 3 * beforeResponseWeight
	// maxSimilarRatio is the largest ratio of the longest to the shortest run at which the
	// durations of a request's runs count as similar.
	maxSimilarRatio = 1.5
)

const (
	// sameCrashWindow is the time between two reports of a crash of the same upstream and request
	// below which they count as one crash. Above it they count as two, since a restarted upstream
	// may keep its name.
	sameCrashWindow = time.Second
	// initialQuarantine is how long a request is refused after the crash that took it over the
	// threshold. Then the request is tried again. The time doubles with each further crash; after
	// maxTrials further crashes the request is refused until its entry expires.
	initialQuarantine = 10 * time.Minute
	maxTrials         = 3
	// entryTTL is how long an entry is kept after the last event of its request.
	entryTTL = 24 * time.Hour
	// maxEntries bounds the requests and parts in a ledger, about 400 bytes each, and maxCrashes the
	// crashes of a request; more crashes would not change the decision. Those of a part tell it from
	// other parts, which takes all crashes until the daemons refuse it.
	maxEntries     = 4096
	maxCrashes     = 16
	maxPartCrashes = 64
	// ledgerEvictFraction: when there are too many entries, one in ledgerEvictFraction is removed
	// at once.
	ledgerEvictFraction = 16
)

// entry holds the recorded events of one request, or of one part of prompts.
type entry struct {
	// part is set if the entry is of a part.
	part    bool
	crashes []Crash // since the last completion, oldest first
	// completed is the time of the last known completion.
	completed time.Time
	// cleared is set if the request was quarantined before its last completion.
	cleared bool
	// unattributedWeight is the weight of the crashes that evaluate did not attribute to another
	// request. Below the threshold none are attributed, so it is the weight of all crashes.
	unattributedWeight int
	// group is set for a quarantined part: the parts, itself among them, that a request must have
	// all to be refused. They have the same crashes, so any of them may be the cause.
	group []Digest
}

// Ledger records the crashes of upstreams per request, and decides which requests are refused.
// It reads no clock and is not safe for concurrent use.
//
// It is meant for two situations: a caller repeats, at any daemon, a request that crashes every
// upstream that runs it; and many upstreams crash for other reasons, separately or together,
// with thousands of runs on them. A request that completes is cleared of its earlier crashes,
// and a crash attributed to a quarantined request does not count against others. So an
// uninvolved request is refused only if it runs into three crashes in a row that are not
// attributed to another request. Parts of prompts are judged as parts.go says.
type Ledger struct {
	entries map[Digest]*entry
	// dirty is set if an event was recorded since the last evaluation; evaluations counts these.
	dirty       bool
	evaluations int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[Digest]*entry{}} }

// RecordCrash records a crash, and reports whether it was new. Repeated reports of a crash are merged.
// A crash older than all those kept for its request does not count as new: it would be dropped
// at once, and two daemons that pass on new records to each other would never stop.
func (l *Ledger) RecordCrash(d Digest, e Crash) bool {
	n := l.entry(d)
	if !e.At.After(n.completed) {
		return false
	}
	for i := range n.crashes {
		if o := &n.crashes[i]; o.Upstream == e.Upstream && e.At.Sub(o.At).Abs() < sameCrashWindow {
			o.Answering, o.Ran = o.Answering && e.Answering, min(o.Ran, e.Ran)
			l.dirty = true
			return false
		}
	}
	limit := maxCrashes
	if n.part {
		limit = maxPartCrashes
	}
	if len(n.crashes) == limit && !e.At.After(n.crashes[0].At) {
		return false
	}
	l.dirty = true
	n.crashes = append(n.crashes, e)
	slices.SortStableFunc(n.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	n.crashes = n.crashes[max(0, len(n.crashes)-limit):]
	return true
}

// entry returns the entry of a request; if there is none, it adds one and may evict others.
func (l *Ledger) entry(d Digest) *entry {
	n := l.entries[d]
	if n == nil {
		n = &entry{part: d.IsPart()}
		l.entries[d] = n
		l.evict(d)
	}
	return n
}

// RecordCompletion records that a request completed, and reports whether that removed any of its crashes.
func (l *Ledger) RecordCompletion(d Digest, at time.Time) bool {
	n := l.entries[d]
	if n == nil || !at.After(n.completed) {
		return false
	}
	if n.crashWeight() >= quarantineThreshold {
		l.evaluate()
		n.cleared = n.quarantined()
	}
	n.completed = at
	l.dirty = true
	before := len(n.crashes)
	n.crashes = slices.DeleteFunc(n.crashes, func(e Crash) bool { return !e.At.After(at) })
	return len(n.crashes) < before
}

// Known reports whether the ledger has an entry for a request.
func (l *Ledger) Known(d Digest) bool { return l.entries[d] != nil }

// Crashes returns the crashes recorded for a request since its last completion.
func (l *Ledger) Crashes(d Digest) []Crash {
	n := l.entries[d]
	if n == nil {
		return nil
	}
	return slices.Clone(n.crashes)
}

// RenewalCandidates returns the requests whose records must survive a restart of all daemons: those that
// are quarantined, and those that a completion released from quarantine. It returns at most limit
// of them, the most recent first.
func (l *Ledger) RenewalCandidates(limit int) []Digest {
	l.evaluate()
	var out []Digest
	for d, n := range l.entries {
		if n.quarantined() || n.cleared {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Digest) int {
		return cmp.Or(l.entries[b].lastUpdate().Compare(l.entries[a].lastUpdate()), slices.Compare(a[:], b[:]))
	})
	return out[:min(limit, len(out))]
}

// Count returns the number of requests with recorded crashes.
func (l *Ledger) Count() int {
	sum := 0
	for _, n := range l.entries {
		if len(n.crashes) > 0 {
			sum++
		}
	}
	return sum
}

// Refuses reports whether a request is refused now, and the number of its crashes.
func (l *Ledger) Refuses(now time.Time, d Digest) (crashes int, refused bool) {
	n := l.entries[d]
	if n == nil {
		return 0, false
	}
	if l.evaluate(); !n.quarantined() {
		return len(n.crashes), false
	}
	if n.part {
		return len(n.crashes), n.partRefusedAt(now)
	}
	trials := (n.unattributedWeight - quarantineThreshold) / beforeResponseWeight
	if trials >= maxTrials {
		return len(n.crashes), true
	}
	duration := initialQuarantine << trials
	return len(n.crashes), now.Sub(n.lastUpdate()) < duration
}

// quarantined reports whether the last evaluation found that the entry's request or part causes
// crashes.
func (n *entry) quarantined() bool {
	return n.group != nil || !n.part && n.unattributedWeight >= quarantineThreshold
}

// evaluate computes the unattributed weight of all entries. Requests over the threshold are
// evaluated in ascending order of their mean run duration, since a request that causes crashes
// has mostly just started; crashes attributed to one of them do not count for the later ones.
//
// Without this attribution a caller that repeats a request every second and runs into three
// crashes in a row that another request caused would be refused for minutes.
func (l *Ledger) evaluate() {
	if !l.dirty {
		return
	}
	l.dirty = false
	l.evaluations++
	var suspects, parts []suspect
	for d, n := range l.entries {
		n.group = nil
		n.unattributedWeight = n.crashWeight()
		switch {
		case n.unattributedWeight < quarantineThreshold:
		case n.part:
			parts = append(parts, suspect{d, n, n.unattributedWeight})
		default:
			suspects = append(suspects, suspect{d, n, n.unattributedWeight})
		}
	}
	attributed := evaluateParts(parts, suspects)
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(a.meanDuration(), b.meanDuration()), cmp.Compare(b.totalWeight, a.totalWeight), slices.Compare(a.digest[:], b.digest[:]))
	})
	for _, s := range suspects {
		if s.unattributedWeight = s.weightNotAttributed(attributed); s.unattributedWeight >= quarantineThreshold {
			attributed.add(s)
		}
	}
}

// suspect is an entry with the total weight of its crashes, as sorted by evaluate and evict.
type suspect struct {
	digest Digest
	*entry
	totalWeight int
}

// attribution is a crash attributed to a quarantined request, and that request's total weight.
type attribution struct {
	Crash
	totalWeight int
}

// attributions maps the name of an upstream to its attributed crashes.
type attributions map[string][]attribution

// add attributes all crashes of a quarantined request to it.
func (x attributions) add(s suspect) {
	for _, e := range s.crashes {
		x[e.Upstream] = append(x[e.Upstream], attribution{e, s.totalWeight})
	}
}

// minDurationRatio: a crash is attributed to another request on the upstream only if that
// request's run was shorter by at least this factor. If both have just started, either may be
// the cause.
const minDurationRatio = 2

// covers reports whether a crash of a request with the given total weight is attributed to a
// quarantined request. That request's run must have been much shorter, and its total weight at
// least as high. Without the second condition a call of a few milliseconds that happened to run
// during the crashes would keep the request that causes them from being refused for a long time.
func (x attributions) covers(e Crash, totalWeight int) bool {
	return slices.ContainsFunc(x[e.Upstream], func(o attribution) bool {
		return e.At.Sub(o.At).Abs() < sameCrashWindow && minDurationRatio*o.Ran <= e.Ran && o.totalWeight >= totalWeight
	})
}

// weightNotAttributed returns the weight of the crashes not attributed to other requests.
func (s suspect) weightNotAttributed(attributed attributions) int {
	return s.sumWeights(func(e Crash) bool { return !attributed.covers(e, s.totalWeight) })
}

// crashWeight returns the weight of all crashes of the request or part.
func (n *entry) crashWeight() int {
	if n.part {
		return n.partWeight(func(Crash) bool { return true })
	}
	return n.sumWeights(func(Crash) bool { return true })
}

// sumWeights returns the weight of the crashes for which counts returns true.
func (n *entry) sumWeights(counts func(e Crash) bool) (sum int) {
	answering := duringResponseWeight
	if n.similarDurations() {
		answering = beforeResponseWeight
	}
	for _, e := range n.crashes {
		switch {
		case !counts(e):
		case e.Answering:
			sum += answering
		default:
			sum += beforeResponseWeight
		}
	}
	return sum
}

// similarDurations reports whether the runs that crashed during their response had lasted about
// equally long. A request that causes crashes does so at the same point of its execution, whereas
// unrelated crashes hit responses at any point.
func (n *entry) similarDurations() bool {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, e := range n.crashes {
		if e.Answering {
			shortest, longest = min(shortest, e.Ran), max(longest, e.Ran)
		}
	}
	return float64(longest) <= maxSimilarRatio*float64(shortest)
}

func (n *entry) meanDuration() (mean time.Duration) {
	for _, e := range n.crashes {
		mean += e.Ran / time.Duration(len(n.crashes))
	}
	return mean
}

// lastUpdate returns the time of the latest event.
func (n *entry) lastUpdate() time.Time {
	at := n.completed
	if len(n.crashes) > 0 && n.crashes[len(n.crashes)-1].At.After(at) {
		at = n.crashes[len(n.crashes)-1].At
	}
	return at
}

// RemoveExpired removes the entries that were not updated for entryTTL.
func (l *Ledger) RemoveExpired(now time.Time) {
	for d, n := range l.entries {
		if now.Sub(n.lastUpdate()) >= entryTTL {
			delete(l.entries, d)
			l.dirty = true
		}
	}
}

// evict removes entries once there are more than maxEntries. It never removes the newest request;
// of the others it removes those with the lowest weight first, and of equal ones the least
// recently updated. Sending many requests does not fill the ledger, since an entry is added only
// when an upstream crashes.
//
// Several entries are removed at once. Otherwise each of the hundreds of records that arrive when
// a rack fails would sort all entries while callers wait.
func (l *Ledger) evict(newest Digest) {
	if len(l.entries) <= maxEntries {
		return
	}
	list := make([]suspect, 0, len(l.entries))
	for d, n := range l.entries {
		if d != newest {
			list = append(list, suspect{d, n, n.crashWeight()})
		}
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(a.totalWeight, b.totalWeight), a.lastUpdate().Compare(b.lastUpdate()), slices.Compare(a.digest[:], b.digest[:]))
	})
	for _, s := range list[:maxEntries/ledgerEvictFraction] {
		delete(l.entries, s.digest)
	}
	l.dirty = true
}

// RequestCrashes is a request, or a part of prompts, with recorded crashes.
type RequestCrashes struct {
	Digest  Digest
	Crashes []Crash
	Refused bool
	// With has the ids of the other parts that a prompt must have to be refused for this one.
	With []string
}

// List returns the requests and parts with recorded crashes, the most recent crash first.
func (l *Ledger) List(now time.Time) []RequestCrashes {
	var out []RequestCrashes
	for d, n := range l.entries {
		if len(n.crashes) == 0 {
			continue
		}
		_, refused := l.Refuses(now, d)
		h := RequestCrashes{Digest: d, Crashes: slices.Clone(n.crashes), Refused: refused}
		for _, o := range n.group {
			if o != d {
				h.With = append(h.With, o.PartID())
			}
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b RequestCrashes) int {
		return cmp.Or(b.Crashes[len(b.Crashes)-1].At.Compare(a.Crashes[len(a.Crashes)-1].At), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return out
}
