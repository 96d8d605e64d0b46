package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
)

// recordLoss records that a run was lost in a crash; k.mu must be held.
func (k *Keeper) recordLoss(s Subject, e Crash) {
	k.recordCrash(s.digest(), e)
	for _, part := range s.reportedParts() {
		k.recordPartCrash(part, e)
	}
}

// soundTime is how long after a completion of a request with a part its crashes are not recorded.
// Without it, each crash of an upstream with dozens of runs would be told once for each part that
// most requests share.
const soundTime = 10 * time.Second

// recordPartCrash records a crash for a part of a prompt, and when a request with the part last
// completed here; k.mu must be held.
func (k *Keeper) recordPartCrash(part Digest, e Crash) {
	at, ok := k.completions.last(part)
	if ok && e.At.Sub(at) < soundTime {
		return
	}
	k.recordCrash(part, e)
	if ok && at.After(k.ledger.completedAt(part)) {
		k.ledger.RecordCompletion(part, at)
		r := completionRecord(part, at)
		k.enqueue(r)
		k.recent.add(r)
	}
}

// clearPart records the last completion of a request with a part on this daemon if other daemons
// should know of it; k.mu must be held.
func (k *Keeper) clearPart(part Digest) {
	at, ok := k.completions.last(part)
	if ok && at.After(k.ledger.completedAt(part)) && k.ledger.tellable(part) {
		k.recordCompletion(part, at)
	}
}

// reportVerdicts logs the parts that have been quarantined or released since its last call; k.mu must
// be held.
func (k *Keeper) reportVerdicts() {
	if k.ledger.evaluate(); k.reportedEvaluation == k.ledger.evaluations {
		return
	}
	k.reportedEvaluation = k.ledger.evaluations
	quarantined := k.ledger.QuarantinedParts()
	for d := range k.quarantinedParts {
		if _, ok := quarantined[d]; !ok {
			delete(k.quarantinedParts, d)
			k.onVerdict(d, nil)
		}
	}
	for d, group := range quarantined {
		if !k.quarantinedParts[d] {
			k.quarantinedParts[d] = true
			k.onVerdict(d, group)
		}
	}
}

// onVerdict logs and counts that a part was quarantined together with the others of its group, or
// released if group is empty.
func (k *Keeper) onVerdict(d Digest, group []Digest) {
	fields := log.Fields{"digest": d.String(), "part": d.PartID()}
	if len(group) == 0 {
		k.o.Logger.WithFields(fields).Info("prompt part released")
	} else {
		crashes := k.ledger.Crashes(d)
		fields["with"] = partIDs(slices.DeleteFunc(slices.Clone(group), func(o Digest) bool { return o == d }))
		fields["ends"], fields["upstreams"] = len(crashes), upstreamNames(crashes)
		fields["age_ms"] = k.o.Now().Sub(crashes[0].At).Milliseconds()
		k.o.Logger.WithFields(fields).Warn("prompt part quarantined")
	}
	if k.o.OnVerdict != nil {
		k.o.OnVerdict(len(group) > 0)
	}
}

// upstreamNames returns the names of the upstreams that crashed, separated by commas.
func upstreamNames(crashes []Crash) string {
	names := make([]string, 0, len(crashes))
	for _, e := range crashes {
		names = append(names, e.Upstream)
	}
	return strings.Join(names, ",")
}
