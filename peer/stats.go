package peer

import "sync/atomic"

// Stats holds the counters of a Service since its creation.
type Stats struct {
	FramesIn, FramesOut uint64
	// BytesIn and BytesOut count the bytes of whole frames, without TCP and TLS
	// overhead.
	BytesIn, BytesOut uint64
	// Dropped counts frames dropped by a full or closed send queue.
	Dropped uint64
	// ProtocolErrors counts connections ended by an invalid frame or a failed handshake.
	ProtocolErrors uint64
	// Dials counts connection attempts.
	Dials uint64
	// Links is the current number of links.
	Links int
}

type counters struct {
	framesIn, framesOut, bytesIn, bytesOut, dropped, faults, dials atomic.Uint64
}

// Stats returns the current counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	links := len(s.links)
	s.mu.Unlock()
	c := &s.counters
	return Stats{
		FramesIn: c.framesIn.Load(), FramesOut: c.framesOut.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		Dropped: c.dropped.Load(), ProtocolErrors: c.faults.Load(), Dials: c.dials.Load(),
		Links: links,
	}
}
