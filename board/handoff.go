package board

import "time"

// suspectPartners is how many others an engine must have failed a handoff with for it to
// be the one at fault: with one, either end may be.
const suspectPartners = 2

// HandedOff takes whether a decode engine took the result of a prefill engine's reading,
// for which it had granted a reservation. A refusal may be the fault of either: of a
// prefill engine whose results lapse, or of a decode engine that is changing its role.
// The one that has failed with more others since it last succeeded is ejected.
//
// Load pattern: one engine of a dozen is ordered to another role under load. Until it has
// registered with it, seconds later, it grants reservations and refuses what they are for,
// and being empty it is asked by all. Forty of six hundred prompts were read in vain so.
func (b *Board) HandedOff(now time.Time, from, to string, taken bool) {
	prefill, decode := b.entries[from], b.entries[to]
	if prefill == nil || decode == nil {
		return
	}
	if taken {
		clear(prefill.spoilt)
		clear(decode.spoilt)
		return
	}
	prefill.spoil(to)
	decode.spoil(from)
	switch n, m := len(prefill.spoilt), len(decode.spoilt); {
	case m >= suspectPartners && m > n:
		b.ejectFor(now, decode)
	case n >= suspectPartners && n > m:
		b.ejectFor(now, prefill)
	}
}

func (e *entry) spoil(partner string) {
	if e.spoilt == nil {
		e.spoilt = map[string]bool{}
	}
	e.spoilt[partner] = true
}

// ejectFor ejects an engine that is at fault for as long as any may be. Those that have
// failed with it are cleared of that.
func (b *Board) ejectFor(now time.Time, e *entry) {
	for partner := range e.spoilt {
		if o := b.entries[partner]; o != nil {
			delete(o.spoilt, e.name)
		}
	}
	clear(e.spoilt)
	e.health.eject(now.Add(b.cfg.EjectMax))
	b.touch(e, true)
}
