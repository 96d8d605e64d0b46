package logsvc

import (
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// stream stores the records of one stream. It reads no clock and is not safe for
// concurrent use.
type stream struct {
	nextOffset uint64            // offset of the next record to be appended
	records    []infraapi.Record // consecutive offsets, the last of which is nextOffset-1
	appended   chan struct{}     // closed and replaced at each append
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

// append appends records at consecutive offsets and returns the first offset.
func (s *stream) append(now time.Time, records [][]byte) uint64 {
	first := s.nextOffset
	for _, data := range records {
		s.records = append(s.records, infraapi.Record{Offset: s.nextOffset, Data: data, TimeMS: now.UnixMilli()})
		s.nextOffset++
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// cut drops the records from offset end on, whose offsets are given out again.
func (s *stream) cut(end uint64) {
	s.records = s.records[:min(uint64(len(s.records)), end-min(end, s.firstOffset()))]
	s.nextOffset = min(s.nextOffset, end)
	close(s.appended)
	s.appended = make(chan struct{})
}

// firstOffset returns the offset of the oldest record that is kept.
func (s *stream) firstOffset() uint64 { return s.nextOffset - uint64(len(s.records)) }

// trim removes the oldest records until at most count are left, and those older
// than age. Zero means no limit.
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

// read returns up to limit records from an offset on. If the offset is before the
// oldest record kept, it returns no records and trimmed is true.
func (s *stream) read(from uint64, limit int) (reply infraapi.ReadReply, trimmed bool) {
	reply = infraapi.ReadReply{Records: []infraapi.Record{}, First: s.firstOffset(), Next: s.nextOffset}
	if from < s.firstOffset() {
		return reply, true
	}
	if from >= s.nextOffset {
		return reply, false
	}
	kept := s.records[from-s.firstOffset():]
	reply.Records = append(reply.Records, kept[:min(limit, len(kept))]...)
	return reply, false
}
