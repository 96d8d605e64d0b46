package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
)

const (
	// callSamples bounds the samples in one call or answer of a follower, about 30 bytes
	// each: sixty followers then cost their reader 7 KB/s. A daemon that sees one request
	// in 300 learns the length of answers within 6 s by these, and not at all in a minute
	// by its own.
	callSamples = 4
	// exchangeSamples bounds those in one call between readers.
	exchangeSamples = 64
	// keptSamples is how many samples are kept for followers that are yet to see them, and
	// firstSamples how many of them a new follower gets at once.
	keptSamples  = 256
	firstSamples = 24
	// sampleLife is how long a sample is passed on. What it shows changes within minutes.
	sampleLife = 15 * time.Second
)

// Samples passes on what daemons have seen of engines: from followers to their reader,
// between readers, and from there to all followers. It is safe for concurrent use.
//
// What goes wrong without it: of 295 daemons the one that orders engines sees 22
// completions of 6,600 and never learns what they cost; engines that read prompts four
// times slower than it assumes get a pool that is half of what they need, for good.
//
// Load pattern: a fleet of hundreds in which each daemon sees a request every two seconds.
// Where there are more samples than are passed on, the newest go.
type Samples struct {
	mu sync.Mutex
	// out are this daemon's own that its reader has not seen, across those that the other
	// readers have not.
	out, across []estimate.Sample
	// kept are the last ones, of which the first has the number base.
	kept []keptSample
	base uint64
}

type keptSample struct {
	at     time.Time
	from   string // the address of the follower that has sent it
	sample estimate.Sample
}

// NewSamples returns an empty memory. Numbers begin with the time of its start, so that
// those of two lives, or of two daemons, are told apart.
func NewSamples(now time.Time) *Samples {
	const perMilli = 1 << 20
	return &Samples{base: uint64(now.UnixMilli()) * perMilli}
}

// Saw takes what this daemon has seen itself.
func (s *Samples) Saw(now time.Time, sample estimate.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = last(append(s.out, sample), callSamples)
	s.across = last(append(s.across, sample), exchangeSamples)
	s.keep(now, "", sample)
}

// Take returns what is to be told to this daemon's reader.
func (s *Samples) Take() []estimate.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.out
	s.out = nil
	return out
}

// TakeAcross returns what is to be told to the other readers.
func (s *Samples) TakeAcross() []estimate.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.across
	s.across = nil
	return out
}

// FromFollower takes what a follower told.
func (s *Samples) FromFollower(now time.Time, address string, list []estimate.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range list {
		s.across = last(append(s.across, sample), exchangeSamples)
		s.keep(now, address, sample)
	}
}

// FromReader takes what the reader of another data centre told.
func (s *Samples) FromReader(now time.Time, list []estimate.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range list {
		s.keep(now, "", sample)
	}
}

func (s *Samples) keep(now time.Time, from string, sample estimate.Sample) {
	s.kept = append(s.kept, keptSample{at: now, from: from, sample: sample})
	if n := len(s.kept) - keptSamples; n > 0 {
		s.kept = append(s.kept[:0], s.kept[n:]...)
		s.base += uint64(n)
	}
}

// Since returns the newest samples for the follower at an address that has seen those up
// to a number, and the number up to which it has seen them then.
func (s *Samples) Since(now time.Time, address string, seen uint64) (out []estimate.Sample, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next = s.base + uint64(len(s.kept))
	first, most := s.base, firstSamples
	if seen >= s.base && seen <= next {
		first, most = seen, callSamples
	}
	for _, k := range s.kept[first-s.base:] {
		if k.from != address && now.Sub(k.at) < sampleLife {
			out = append(out, k.sample)
		}
	}
	return last(out, most), next
}

// last returns at most the n last elements.
func last[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }
