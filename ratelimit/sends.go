package ratelimit

import "time"

const (
	// sendSlots is into how many slots a Window is divided to count what was sent in it.
	sendSlots = 16
	sendSlot  = Window / sendSlots
)

// sends counts the requests of the last Window.
type sends struct {
	counts [sendSlots]int
	first  time.Time // the start of the numbers of slots
	newest int64
}

func (s *sends) add(now time.Time) { s.counts[s.advance(now)%sendSlots]++ }

func (s *sends) count(now time.Time) (n int) {
	s.advance(now)
	for _, c := range s.counts {
		n += c
	}
	return n
}

// advance empties the slots that are over, and returns the present one.
func (s *sends) advance(now time.Time) int64 {
	if s.first.IsZero() {
		s.first = now
	}
	slot := max(s.newest, int64(now.Sub(s.first)/sendSlot))
	for n := max(s.newest+1, slot-sendSlots+1); n <= slot; n++ {
		s.counts[n%sendSlots] = 0
	}
	s.newest = slot
	return slot
}
