package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// encodedBatch caches the last encoded batch of a feed for followers that ask for the same
// records.
type encodedBatch struct {
	from, end logpos.Position
	whole     bool
	body      []byte
}

// handleRead answers a read as soon as there is fresh data with something new for the caller,
// and at the latest when the wait of the request is over. Without fresh data it answers
// earlier with a status that says so, unless readRequest.Patient is set.
func (s *Server) handleRead(ctx context.Context, call readRequest) (*readResponse, error) {
	s.o.Roster.RecordCall(s.o.Now(), call.Self)
	s.recordOutage(call.SinceOutage)
	s.o.Epochs.Learn(call.KnownEpoch)
	s.o.Followers.RecordCall(s.o.Now())
	s.addUnitsFor(call.Self, call.HandedOver)
	s.o.Limits.Update(call.Limits)
	if samples := fromWireSamples(call.Samples); len(samples) > 0 {
		s.o.Samples.AddFromFollower(s.o.Now(), call.Self.Address, samples)
		s.o.OnSamples(samples)
	}
	waitTimer := time.NewTimer(min(max(call.Wait, 0), s.o.Timing.AnswerWithin))
	defer waitTimer.Stop()
	freshTimer := time.NewTimer(freshDataWait)
	defer freshTimer.Stop()
	for timedOut, freshWaitOver := false, false; ; {
		cached := s.o.Cache.Get(s.o.Now(), call.Feed, call.from(), call.Whole)
		fresh := cached.Known && cached.Age < s.o.Timing.MaxAge && !call.KnownEpoch.After(cached.Epoch)
		hasQuarantineRecords, quarantineChanged := s.o.Quarantine.HasRecords(call.QuarantineUpTo)
		hasRecords := call.Whole || cached.Batch.Whole || call.from().Before(cached.Batch.End()) || call.Feed == fleet.FeedUpstreams && hasQuarantineRecords
		switch {
		case fresh && (hasRecords || timedOut):
			return s.respondWithBatch(call, cached)
		case !fresh && cached.StoreDown && (timedOut || !call.Patient):
			return s.addRecords(call, &readResponse{Status: statusStoreDown}), nil
		case !fresh && (timedOut || freshWaitOver && !call.Patient):
			return s.addRecords(call, &readResponse{Status: statusStale}), nil
		}
		var expired <-chan time.Time
		if fresh {
			timer := time.NewTimer(s.o.Timing.MaxAge - cached.Age)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-cached.Changed:
		case <-quarantineChanged:
		case <-expired:
		case <-waitTimer.C:
			timedOut = true
		case <-freshTimer.C:
			freshWaitOver = true
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// recordOutage records the outage of the store that a caller knows of; since is how long ago
// it was, 0 for none.
//
// A daemon that begins to read the store because a caller's own reads fail has seen no call
// fail itself. Without the caller's report, it would take registrations that expired in the
// outage for withdrawn ones.
func (s *Server) recordOutage(since time.Duration) {
	if since > 0 {
		s.o.Cache.RecordOutage(s.o.Now().Add(-since))
	}
}

// respondWithBatch returns a response with records.
func (s *Server) respondWithBatch(call readRequest, cached CachedFeed) (*readResponse, error) {
	body, err := s.encode(call.Feed, call.from(), cached.Batch)
	if err != nil {
		return nil, err
	}
	return s.addRecords(call, &readResponse{Status: statusFresh, Age: cached.Age, Batch: body}), nil
}

// encode encodes a batch, reusing the result for all followers that ask for the same
// records.
func (s *Server) encode(f fleet.Feed, from logpos.Position, b fleet.Batch) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.encoded[f]
	if b.Whole {
		from = logpos.Position{}
	}
	if p.body != nil && p.from == from && p.end == b.End() && p.whole == b.Whole {
		return p.body, nil
	}
	body, err := encodeBatch(b)
	if err == nil {
		*p = encodedBatch{from: from, end: b.End(), whole: b.Whole, body: body}
	}
	return body, err
}

// addRecords adds to a response what is sent besides the records of the feed: the current time
// of this daemon's ledger (see AccrualSender) and, if the caller has another version of it,
// the succession. For the upstreams feed it also adds samples, quarantine records and limits.
func (s *Server) addRecords(call readRequest, reply *readResponse) *readResponse {
	current := s.succession(call.Self.DataCentre)
	reply.Stamp = s.o.Quota.Stamp(s.o.Now())
	reply.SinceOutage = s.o.Cache.SinceOutage(s.o.Now())
	if reply.Version = current.version; current.version != call.KnownVersion {
		reply.Succession = &current.succession
	}
	if call.Feed == fleet.FeedUpstreams { // followers read both feeds, so one of them is enough
		samples, upTo := s.o.Samples.Since(s.o.Now(), call.Self.Address, call.SamplesUpTo)
		reply.Samples, reply.SamplesUpTo = toWireSamples(samples), upTo
		reply.Quarantine, reply.QuarantineUpTo = s.o.Quarantine.Since(call.QuarantineUpTo)
		reply.Limits = s.o.Limits.Changes(call.Whole)
	}
	return reply
}

// writeBatch writes the response to a read that arrived at the given time. If other large
// batches are being sent until the follower's wait is over, it sends the response without
// its batch and as stale, so that the follower asks a successor and later this daemon again.
func (s *Server) writeBatch(ctx context.Context, c net.Conn, arrived time.Time, e wire.Envelope, r *readResponse) error {
	ready := time.Now()
	done, ok := s.limiter.admit(ctx, len(r.Batch), arrived.Add(s.o.Timing.AnswerWithin))
	if !ok {
		r.Status, r.Age, r.Batch = statusStale, 0, nil
		return writeMessage(c, e, r)
	}
	defer done()
	r.Age += time.Since(ready)
	// The follower gives up at this time. A write to one that does not read would otherwise
	// hold back the batches of the others for longer.
	if err := c.SetWriteDeadline(arrived.Add(s.o.Timing.AnswerWithin + s.o.Timing.Slack)); err != nil {
		return errors.WithStack(err)
	}
	return writeMessage(c, e, r)
}
