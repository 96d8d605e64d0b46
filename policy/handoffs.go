package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// handoffMemory is the time constant with which earlier outcomes lose their weight.
	handoffMemory = 5 * time.Second
	// minHandoffs is the weight of outcomes that is needed to keep retries, and
	// minRefusedShare the share of refused ones. A single refusal says little.
	minHandoffs     = 3
	minRefusedShare = 0.1
	// maxKeptRetries bounds the retries that are kept.
	maxKeptRetries = 3
)

// Handoffs estimates which share of the prefill results decode engines refuse, and how many
// retries must be left for decode calls. It is safe for concurrent use; the zero value has no
// outcomes.
//
// Load pattern: engines that reject most calls, prompts and decode calls alike, and a retry
// budget that covers only a part of the rejections. A retried prompt becomes an answer only if
// the budget also covers the retries of its decode call. If prompts could take all retries, most
// of their results would expire unused.
type Handoffs struct {
	mu sync.Mutex
	// refused and total are the weights of the refused and of all outcomes as of the time at.
	refused, total float64
	at             time.Time
}

// RecordOutcome records whether a decode engine accepted a prefill result.
func (h *Handoffs) RecordOutcome(now time.Time, accepted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.total++
	if !accepted {
		h.refused++
	}
}

// decay reduces the weights by the time since the last call; h.mu must be held.
func (h *Handoffs) decay(now time.Time) {
	if elapsed := now.Sub(h.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / handoffMemory.Seconds())
		h.refused, h.total, h.at = h.refused*factor, h.total*factor, now
	}
}

// RetriesToKeep returns how many retries the budget must have left after a retry of a prompt:
// the number that its decode call is expected to need, rounded down to at least one.
func (h *Handoffs) RetriesToKeep(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	share := h.refused / max(h.total, 1)
	if h.total < minHandoffs || share < minRefusedShare {
		return 0
	}
	if share >= 1 {
		return maxKeptRetries
	}
	return min(maxKeptRetries, max(1, int(share/(1-share))))
}
