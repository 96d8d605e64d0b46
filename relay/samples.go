package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
)

const (
	// maxSamplesPerCall bounds the samples in one request of a follower and in its
	// response. A sample takes about 30 bytes, so that the samples of sixty followers cost
	// their reader 7 KB/s. A daemon that handles one request in 300 learns the length of
	// answers from these samples within 6 s; from its own requests it would not do so
	// within a minute.
	maxSamplesPerCall = 4
	// maxSamplesPerExchange bounds the samples in one call between readers.
	maxSamplesPerExchange = 64
	// maxKeptSamples bounds the samples that are kept for followers, and maxSamplesAtStart
	// the samples in the first response to a new follower.
	maxKeptSamples    = 256
	maxSamplesAtStart = 24
	// sampleTTL is how long a sample is passed on. The measured quantities change within
	// minutes.
	sampleTTL = 15 * time.Second
)

// Samples distributes the measurements that daemons take of completions on engines: from
// followers to their reader, between readers, and from readers to their followers. It is
// safe for concurrent use.
//
// If samples were not distributed, the daemon that assigns roles to engines in a fleet of
// 295 daemons would see 22 of 6,600 completions and never learn their cost. If the engines
// prefill four times slower than that daemon assumes, the prefill pool then stays at half of
// the size that is needed.
//
// Load pattern: a fleet of hundreds of daemons, each of which sees a request every two
// seconds. If there are more samples than may be passed on, only the newest are passed on.
type Samples struct {
	mu sync.Mutex
	// toReader are this daemon's own samples that have not been sent to its reader, and
	// toOtherReaders the samples that have not been sent to the readers of other data
	// centres.
	toReader, toOtherReaders []estimate.Sample
	// kept are the most recent samples. The first of them has the sequence number base.
	kept []keptSample
	base uint64
}

// keptSample is a sample that is kept for followers.
type keptSample struct {
	at     time.Time
	from   string // address of the follower that sent it, "" for other sources
	sample estimate.Sample
}

// NewSamples returns an empty Samples. Its sequence numbers begin at a number derived from
// the start time, so that they differ from those of other daemons and of earlier processes.
func NewSamples(now time.Time) *Samples {
	const perMilli = 1 << 20
	return &Samples{base: uint64(now.UnixMilli()) * perMilli}
}

// AddOwn adds a sample taken by this daemon.
func (s *Samples) AddOwn(now time.Time, sample estimate.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toReader = lastN(append(s.toReader, sample), maxSamplesPerCall)
	s.toOtherReaders = lastN(append(s.toOtherReaders, sample), maxSamplesPerExchange)
	s.keep(now, "", sample)
}

// TakeForReader returns and removes the samples to send to this daemon's reader.
func (s *Samples) TakeForReader() []estimate.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.toReader
	s.toReader = nil
	return out
}

// TakeForOtherReaders returns and removes the samples to send to the other readers.
func (s *Samples) TakeForOtherReaders() []estimate.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.toOtherReaders
	s.toOtherReaders = nil
	return out
}

// AddFromFollower adds the samples sent by a follower.
func (s *Samples) AddFromFollower(now time.Time, address string, list []estimate.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range list {
		s.toOtherReaders = lastN(append(s.toOtherReaders, sample), maxSamplesPerExchange)
		s.keep(now, address, sample)
	}
}

// AddFromReader adds the samples sent by the reader of another data centre.
func (s *Samples) AddFromReader(now time.Time, list []estimate.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range list {
		s.keep(now, "", sample)
	}
}

// keep adds a sample for followers and drops the oldest one if there are too many.
func (s *Samples) keep(now time.Time, from string, sample estimate.Sample) {
	s.kept = append(s.kept, keptSample{at: now, from: from, sample: sample})
	if n := len(s.kept) - maxKeptSamples; n > 0 {
		s.kept = append(s.kept[:0], s.kept[n:]...)
		s.base += uint64(n)
	}
}

// Since returns the newest samples that the follower at an address has not received yet,
// without those that it sent itself. seen is the sequence number up to which it has received
// samples, and next the one to use in the next call.
func (s *Samples) Since(now time.Time, address string, seen uint64) (out []estimate.Sample, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next = s.base + uint64(len(s.kept))
	first, limit := s.base, maxSamplesAtStart
	if seen >= s.base && seen <= next {
		first, limit = seen, maxSamplesPerCall
	}
	for _, k := range s.kept[first-s.base:] {
		if k.from != address && now.Sub(k.at) < sampleTTL {
			out = append(out, k.sample)
		}
	}
	return lastN(out, limit), next
}

// lastN returns the last n elements, or all if there are fewer.
func lastN[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }
