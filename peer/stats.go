package peer

import "sync/atomic"

// Stats counts what a service did since it was made.
type Stats struct {
	FramesIn, FramesOut uint64
	// BytesIn and BytesOut count whole frames, without TCP and TLS.
	BytesIn, BytesOut uint64
	// Dropped counts frames that a full queue lost.
	Dropped uint64
	// Faults counts connections ended by a bad frame or handshake.
	Faults uint64
	// Dials counts connection attempts.
	Dials uint64
	// Links is the number of connections now.
	Links int
}

type counters struct {
	framesIn, framesOut, bytesIn, bytesOut, dropped, faults, dials atomic.Uint64
}

// Stats returns the counters now.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	links := len(s.links)
	s.mu.Unlock()
	c := &s.count
	return Stats{
		FramesIn: c.framesIn.Load(), FramesOut: c.framesOut.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		Dropped: c.dropped.Load(), Faults: c.faults.Load(), Dials: c.dials.Load(),
		Links: links,
	}
}
