package quota

// rateHistory records the rates of a limit, which convert the accrued time of a slot to units.
// A slot counts at the rate in force when it was accrued or at the current rate, whichever is
// lower.
//
// Otherwise, raising a limit would turn time accrued under the lower rate into a burst that
// neither limit allows, and after lowering it, time accrued under the higher rate could still
// be spent at that rate.
type rateHistory struct {
	current float64 // units a second
	// previous holds the earlier rates, the newest last. It is empty while the limit never changes.
	previous []rateStep
}

// rateStep is a rate that was in force until the slot with the number end, exclusive.
type rateStep struct {
	rate float64
	end  int64
}

// maxRateSteps bounds the earlier rates that are kept. Beyond it, the two oldest are merged into
// the lower of them.
const maxRateSteps = 16

// set makes rate the current one from a slot on.
func (h *rateHistory) set(slot int64, rate float64) {
	if rate == h.current {
		return
	}
	for len(h.previous) > 0 && slot-h.previous[0].end >= slots {
		h.previous = h.previous[1:]
	}
	if n := len(h.previous); n > 0 && h.previous[n-1].end == slot {
		h.current = min(h.current, h.previous[n-1].rate)
		h.previous = h.previous[:n-1]
	}
	if len(h.previous) == maxRateSteps {
		h.previous[1].rate = min(h.previous[0].rate, h.previous[1].rate)
		h.previous = h.previous[1:]
	}
	h.previous = append(h.previous, rateStep{h.current, slot})
	h.current = rate
}

// effective returns the rate at which a slot counts.
func (h *rateHistory) effective(slot int64) float64 {
	rate := h.current
	for i := len(h.previous) - 1; i >= 0 && slot < h.previous[i].end; i-- {
		rate = h.previous[i].rate
	}
	return min(rate, h.current)
}
