package board

import "time"

// minFailedPartners is the number of different partners with which an engine's handoffs
// must have failed for the engine to be at fault. With one partner, either of the two
// may be at fault.
const minFailedPartners = 2

// RecordHandoff records the result of a handoff, in which a decode engine takes over the
// result of a prefill. from and to name the prefill and the decode engine; accepted
// says whether the decode engine accepted the result, for which it had granted a
// reservation. Either engine may be at fault for a refusal: the results of the prefill
// engine may have expired, or the decode engine may be changing its role. The engine
// that has failed with more partners since its last success is ejected.
//
// A typical case is a decode engine that is assigned another role under load. For the
// seconds until it registers with the new role, it still grants reservations but
// refuses the handoffs, and all daemons prefer it because it is empty. Without the
// ejection, 40 of 600 prompts were prefilled in vain.
func (b *Board) RecordHandoff(now time.Time, from, to string, accepted bool) {
	prefill, decode := b.entries[from], b.entries[to]
	if prefill == nil || decode == nil {
		return
	}
	if accepted {
		clear(prefill.failedHandoffs)
		clear(decode.failedHandoffs)
		return
	}
	prefill.recordFailedHandoff(to)
	decode.recordFailedHandoff(from)
	switch n, m := len(prefill.failedHandoffs), len(decode.failedHandoffs); {
	case m >= minFailedPartners && m > n:
		b.ejectForHandoffs(now, decode)
	case n >= minFailedPartners && n > m:
		b.ejectForHandoffs(now, prefill)
	}
}

func (e *entry) recordFailedHandoff(partner string) {
	if e.failedHandoffs == nil {
		e.failedHandoffs = map[string]bool{}
	}
	e.failedHandoffs[partner] = true
}

// ejectForHandoffs ejects the engine at fault for failed handoffs. The ejection lasts
// EjectMax. The engine is also removed from the failed handoffs of its partners.
func (b *Board) ejectForHandoffs(now time.Time, e *entry) {
	for partner := range e.failedHandoffs {
		if o := b.entries[partner]; o != nil {
			delete(o.failedHandoffs, e.name)
		}
	}
	clear(e.failedHandoffs)
	e.health.eject(now, now.Add(b.cfg.EjectMax))
	e.health.silent = false
	b.markChanged(e, true)
}
