package claims

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// shard runs the Machine of one stream.
type shard struct {
	number int
	stream string
	opts   *Options
	// kick wakes the append loop; it holds at most one wake-up.
	kick chan struct{}

	mu      sync.Mutex
	m       *Machine
	waiters map[uint64]*waiter
	follows bool
	// progress is closed and replaced whenever records were read.
	progress chan struct{}
	serving  int // homes' answers that wait
	relays   []*relay
	lastSend time.Time
	failing  bool
}

// waiter is one caller that waits for its claim. Each channel gets at most one
// value and has room for it.
type waiter struct {
	decided  chan Decision
	appended chan uint64 // the offset, when this daemon does not follow the stream
}

func newShard(number int, opts *Options) *shard {
	return &shard{
		number: number, stream: Stream(number), opts: opts,
		kick:    make(chan struct{}, 1),
		m:       newMachine(opts.machine(), opts.Self, opts.Dead, opts.Now()),
		waiters: make(map[uint64]*waiter), progress: make(chan struct{}),
	}
}

func (s *shard) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *shard) claim(ctx context.Context, key Key, body Body, requestID string) (request.Grant, *errkind.Error) {
	started := s.opts.Now()
	s.mu.Lock()
	seq, d, decided := s.m.Claim(started, key, body, requestID)
	if decided {
		s.mu.Unlock()
		return s.grant(started, seq, d)
	}
	w := &waiter{decided: make(chan Decision, 1), appended: make(chan uint64, 1)}
	s.waiters[seq] = w
	s.mu.Unlock()
	s.wake()
	return s.grant(started, seq, s.wait(ctx, key, seq, w))
}

// wait returns the decision on a claim, or gives the claim up.
func (s *shard) wait(ctx context.Context, key Key, seq uint64, w *waiter) Decision {
	ctx, cancel := context.WithTimeout(ctx, s.opts.DecideWithin)
	defer cancel()
	for {
		select {
		case d := <-w.decided:
			return d
		case offset := <-w.appended:
			if d, ok := s.askHome(ctx, key, seq, offset); ok {
				return d
			}
		case <-ctx.Done():
			return s.giveUp(seq, w)
		}
	}
}

// giveUp ends a claim's wait, unless its decision has just come.
func (s *shard) giveUp(seq uint64, w *waiter) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-w.decided:
		return d
	default:
	}
	delete(s.waiters, seq)
	s.m.Cancel(s.opts.Now(), seq)
	s.wake()
	return gaveUp()
}

// grant turns a decision into the caller's answer.
func (s *shard) grant(started time.Time, seq uint64, d Decision) (request.Grant, *errkind.Error) {
	if d.Err != nil {
		return nil, d.Err
	}
	if !d.Run {
		return &grant{answer: d.Answer}, nil
	}
	return &grant{
		run: true,
		// The monotonic reading is dropped: it stands still on a suspended machine.
		deadline: started.Add(s.opts.GrantTTL).Round(0),
		finish:   func(out request.Outcome) { s.finish(seq, out) },
	}, nil
}

func (s *shard) finish(seq uint64, out request.Outcome) {
	s.mu.Lock()
	s.m.Finish(s.opts.Now(), seq, out)
	s.mu.Unlock()
	s.wake()
}

// resolve hands decisions to their callers. The caller holds s.mu.
func (s *shard) resolve(list []resolution) {
	for _, r := range list {
		w := s.waiters[r.Seq]
		if w == nil {
			continue
		}
		delete(s.waiters, r.Seq)
		w.decided <- r.Decision
	}
}

// appendLoop appends batches as they come due, and once more when ctx ends.
func (s *shard) appendLoop(ctx context.Context, budget *rate.Limiter) {
	s.mu.Lock()
	s.m.AppendFailed(s.opts.Now()) // a batch left over from a loop that panicked
	s.mu.Unlock()
	for s.waitDue(ctx) {
		if budget.Wait(ctx) != nil {
			break
		}
		s.appendDue(ctx, s.opts.Now())
	}
	s.flush(ctx)
}

// flush appends what waits at shutdown.
//
// What goes wrong: results linger for a claim to be appended with, and a daemon
// that stops would drop them. One would notice repeats that are told "unknown"
// after each restart, though the first answer had been given.
func (s *shard) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	s.appendDue(ctx, s.opts.Now().Add(resultLinger+s.opts.Linger))
}

// waitDue waits until a batch is due; it returns false when ctx ended.
func (s *shard) waitDue(ctx context.Context) bool {
	for ctx.Err() == nil {
		pause := s.pause()
		if pause <= 0 {
			return true
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-s.kick:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// pause returns the time until something is due.
func (s *shard) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, pause := s.opts.Now(), idleWait
	if at, ok := s.m.Due(); ok {
		pause = at.Sub(now)
	}
	if len(s.relays) > 0 {
		pause = min(pause, s.lastSend.Add(s.opts.Linger).Sub(now))
	}
	return pause
}

// appendDue appends the own batch that is due at a time, if any, and all that
// other daemons have handed over.
func (s *shard) appendDue(ctx context.Context, at time.Time) {
	s.mu.Lock()
	b := s.m.Batch(at)
	relays := s.takeRelays()
	s.lastSend = s.opts.Now()
	s.mu.Unlock()
	if b == nil && len(relays) == 0 {
		return
	}
	offset, err := s.send(ctx, b, relays)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(err)
	if b != nil {
		s.appended(offset, err)
		offset++
	}
	for i, r := range relays {
		r.done <- relayed{offset + uint64(i), err}
	}
}

// appended tells the machine how its batch fared. The caller holds s.mu.
func (s *shard) appended(offset uint64, err error) {
	if err != nil {
		s.m.AppendFailed(s.opts.Now())
		return
	}
	for _, seq := range s.m.Appended() {
		if w := s.waiters[seq]; w != nil && !s.follows {
			select {
			case w.appended <- offset:
			default:
			}
		}
	}
}

// send appends to the log, or hands the own batch to the shard's home.
func (s *shard) send(ctx context.Context, b *Batch, relays []*relay) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var records [][]byte
	if b != nil {
		data, err := b.Encode()
		if err != nil {
			return 0, err
		}
		if s.opts.Relay != nil && !s.opts.Follow(s.number) && len(relays) == 0 {
			reply, err := s.opts.Relay(ctx, s.number, wire.ClaimAppend{Stream: s.stream, Record: data})
			return reply.Offset, err
		}
		records = append(records, data)
	}
	for _, r := range relays {
		records = append(records, r.record)
	}
	return s.opts.Log.Append(ctx, s.stream, records...)
}

// note logs when appends begin to fail and when they work again. The caller
// holds s.mu.
func (s *shard) note(err error) {
	l := s.opts.Logger.WithField("stream", s.stream)
	if err != nil && !s.failing {
		l.WithError(err).Warn("claims: appends fail")
	}
	if err == nil && s.failing {
		l.Info("claims: appends work again")
	}
	s.failing = err != nil
}
