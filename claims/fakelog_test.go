package claims

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/platform/platformapi"
)

// fakeLog is the platform's log in memory, with its faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	now     func() time.Time
	// down makes every call fail, deaf every read; lose makes that many appends
	// take effect and then fail; twice makes that many appends be recorded twice.
	down, deaf bool
	// delay is one round trip to the log.
	delay       time.Duration
	lose, twice int
	appends     int
	bytes       int
	grown       chan struct{}
}

type fakeStream struct {
	first   uint64
	records []platformapi.Record
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string]*fakeStream{}, now: time.Now, grown: make(chan struct{})}
}

var errFake = errors.New("fake log: no answer")

func (l *fakeLog) stream(name string) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{}
		l.streams[name] = s
	}
	return s
}

func (l *fakeLog) Append(ctx context.Context, name string, records ...[]byte) (uint64, error) {
	sleep(ctx, l.delay/2)
	defer sleep(ctx, l.delay/2)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errFake
	}
	l.appends++
	s := l.stream(name)
	if l.twice > 0 {
		l.twice--
		records = append(records, records...)
	}
	offset := s.first + uint64(len(s.records))
	for i, r := range records {
		l.bytes += len(r)
		s.records = append(s.records, platformapi.Record{Offset: offset + uint64(i), Data: r, TimeMS: l.now().UnixMilli()})
	}
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, errFake
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, name string, from uint64, maxRecords int, wait time.Duration) (platformapi.ReadReply, error) {
	sleep(ctx, l.delay/2)
	defer sleep(ctx, l.delay/2)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		reply, err := l.read(name, from, maxRecords)
		grown := l.grown
		l.mu.Unlock()
		if err != nil || len(reply.Records) > 0 {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-timer.C:
			return reply, nil
		case <-grown:
		}
	}
}

func (l *fakeLog) read(name string, from uint64, maxRecords int) (platformapi.ReadReply, error) {
	s := l.stream(name)
	reply := platformapi.ReadReply{First: s.first, Next: s.first + uint64(len(s.records))}
	switch {
	case l.down || l.deaf:
		return platformapi.ReadReply{}, errFake
	case from < s.first:
		return reply, errFake
	case from < reply.Next:
		rest := s.records[from-s.first:]
		reply.Records = append(reply.Records, rest[:min(maxRecords, len(rest))]...)
	}
	return reply, nil
}

func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}
