package ratelimit

import "time"

const (
	// sendSlots is the number of slots that a Window is divided into to count requests.
	sendSlots = 16
	// sendSlot is the length of a slot.
	sendSlot = Window / sendSlots
)

// sendCounter counts the requests sent in the last Window.
type sendCounter struct {
	counts [sendSlots]int
	epoch  time.Time // start of slot 0
	newest int64     // the slot of the last advance
}

func (s *sendCounter) add(now time.Time) { s.counts[s.advance(now)%sendSlots]++ }

func (s *sendCounter) count(now time.Time) (n int) {
	s.advance(now)
	for _, c := range s.counts {
		n += c
	}
	return n
}

// advance resets the slots that have left the window and returns the number of the current one.
func (s *sendCounter) advance(now time.Time) int64 {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	slot := max(s.newest, int64(now.Sub(s.epoch)/sendSlot))
	for n := max(s.newest+1, slot-sendSlots+1); n <= slot; n++ {
		s.counts[n%sendSlots] = 0
	}
	s.newest = slot
	return slot
}
