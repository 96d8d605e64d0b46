package logsvc

import (
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// stream holds the records of one stream. It reads no clock and is not safe for
// concurrent use.
type stream struct {
	next    uint64
	records []infraapi.Record // consecutive offsets that end at next-1
	grown   chan struct{}     // closed and replaced at each append
}

func newStream() *stream {
	return &stream{grown: make(chan struct{})}
}

// append adds records at consecutive offsets and returns the first offset.
func (s *stream) append(now time.Time, records [][]byte) uint64 {
	first := s.next
	for _, data := range records {
		s.records = append(s.records, infraapi.Record{Offset: s.next, Data: data, TimeMS: now.UnixMilli()})
		s.next++
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// first returns the oldest offset that is kept.
func (s *stream) first() uint64 { return s.next - uint64(len(s.records)) }

// trim drops the records that are beyond the count or older than the age; zero
// means no limit.
func (s *stream) trim(now time.Time, count int, age time.Duration) {
	drop := 0
	if count > 0 && len(s.records) > count {
		drop = len(s.records) - count
	}
	if age > 0 {
		oldest := now.Add(-age).UnixMilli()
		for drop < len(s.records) && s.records[drop].TimeMS < oldest {
			drop++
		}
	}
	s.records = s.records[drop:]
}

// read returns up to limit records from an offset on; trimmed says that the
// offset is older than the oldest record kept.
func (s *stream) read(from uint64, limit int) (reply infraapi.ReadReply, trimmed bool) {
	reply = infraapi.ReadReply{Records: []infraapi.Record{}, First: s.first(), Next: s.next}
	if from < s.first() {
		return reply, true
	}
	if from >= s.next {
		return reply, false
	}
	kept := s.records[from-s.first():]
	reply.Records = append(reply.Records, kept[:min(limit, len(kept))]...)
	return reply, false
}
