package relay

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

// recordCursors are the sequence numbers up to which one reader has sent its samples and its
// quarantine records to this daemon.
//
// Each reader has its own sequence numbers. Suppose that a follower had one cursor for all
// readers, and that two daemons name each other as the reader while the store is
// unavailable. The follower asks the two alternately and would send each of them the cursor
// of the other. Each daemon would not recognize the number, treat the caller as a new follower
// and answer at once, thousands of times a second.
type recordCursors struct{ samples, quarantine uint64 }

// maxCursors bounds the readers whose cursors are kept. A daemon reads through only a few
// others: the reader of its data centre, the successors and the readers of other data
// centres.
const maxCursors = 64

// readFromPeer reads from another daemon; ok is false if that daemon returned no fresh data,
// or if the call was cancelled. storeAnswers reports that it did, and has known of no outage since the store
// last answered this daemon.
func (s *Store) readFromPeer(ctx context.Context, q query, step Step) (b fleet.Batch, storeAnswers, ok bool) {
	s.setSource(step.Peer.Instance, "")
	call := s.buildRequest(q, step)
	callCtx, cancel := context.WithCancel(ctx) // cancelled when a follower calls this daemon
	defer cancel()
	if !step.Substitute {
		defer s.o.Followers.OnActive(cancel)()
	}
	reply, b, err := s.clients[q.feed].read(callCtx, step.Peer.Address, call, s.o.Timing.Slack)
	if callCtx.Err() != nil {
		return b, false, false // this daemon is to read the store itself, or is stopping
	}
	now := s.o.Now()
	s.recordPeerReply(step.Peer, reply, err)
	if err == nil {
		if !step.Substitute {
			s.recordOutage(now, reply)
		}
		s.o.Time.recordStamp(now, step.Peer.Address, reply.Stamp)
		s.applyRecords(q.feed, step.Peer.Address, reply)
	}
	if err != nil || reply.Status != statusFresh {
		return b, false, false
	}
	if b.Epoch == 0 { // the other daemon runs older software, which knows no epochs
		b.Epoch = q.from.Epoch
	}
	s.o.Epochs.Learn(b.Epoch)
	if newest, _ := s.o.Epochs.Newest(); newest.After(b.Epoch) {
		return b, false, false
	}
	b.Age = reply.Age
	s.o.Cache.Add(now.Add(-reply.Age), q.feed, q.from, b)
	s.countRead(q, ViaPeer)
	return b, !s.outageSinceDirectRead(now, reply.SinceOutage), true
}

// outageSinceDirectRead reports whether an outage, of which a peer told how long ago it was, came after the
// last answer of the store to this daemon; 0 means none.
func (s *Store) outageSinceDirectRead(now time.Time, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since > 0 && !now.Add(-since).Before(s.lastDirect)
}

// recordOutage records the outage of the store that a response tells of. A reader without
// fresh data has had no answer from the store for longer than any read waits there.
func (s *Store) recordOutage(now time.Time, reply readResponse) {
	if reply.SinceOutage > 0 {
		s.o.Cache.RecordOutage(now.Add(-reply.SinceOutage))
	}
	if reply.Status != statusFresh {
		s.o.Cache.RecordOutage(now)
	}
}

// recordPeerReply updates the plan with the response or error of a peer.
func (s *Store) recordPeerReply(peer Peer, reply readResponse, err error) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.plan.PeerUnreachable(now, peer)
		s.o.Logger.WithField("reader", peer.Instance).WithError(err).Info("reader lost")
		return
	case reply.Status == statusStoreDown:
		s.plan.PeerStoreDown(now, peer)
	case reply.Status == statusStale:
		s.plan.PeerStale(now, peer)
	default:
		s.plan.PeerFresh(now, peer)
	}
	// A daemon of another data centre knows of this one only its reader.
	if reply.Succession != nil && peer.DataCentre == s.o.Self.DataCentre && !s.o.Roster.IsReader() {
		s.o.Roster.SetSuccession(*reply.Succession)
		s.successionVersion = reply.Version
	}
}

// buildRequest returns the request to send to a peer.
func (s *Store) buildRequest(q query, step Step) readRequest {
	known, _ := s.o.Epochs.Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	call := readRequest{
		Feed: q.feed, From: q.from.Offset, FromEpoch: q.from.Epoch, KnownEpoch: known, Whole: q.whole, Wait: s.o.Timing.answerWithin(step), Patient: step.Patient, Self: s.o.Roster.Self(),
		KnownVersion: s.successionVersion, HandedOver: s.o.Time.handOver(s.o.Now(), step.Peer),
	}
	if !step.Substitute { // that one is asked whether there is an outage
		call.SinceOutage = s.o.Cache.SinceOutage(s.o.Now())
	}
	if q.feed == fleet.FeedUpstreams {
		cursors := s.cursors[step.Peer.Address]
		call.Samples = toWireSamples(s.o.Samples.TakeForReader())
		call.SamplesUpTo, call.QuarantineUpTo = cursors.samples, cursors.quarantine
		call.Limits = s.o.Limits.Changes(q.whole)
	}
	return call
}

// applyRecords stores the samples, quarantine records and limits in the response of the daemon
// at an address.
func (s *Store) applyRecords(f fleet.Feed, address string, reply readResponse) {
	if f != fleet.FeedUpstreams {
		return
	}
	s.setCursors(address, recordCursors{samples: reply.SamplesUpTo, quarantine: reply.QuarantineUpTo})
	s.o.Limits.Update(reply.Limits)
	if len(reply.Quarantine) > 0 {
		s.o.Quarantine.ApplyRemote(reply.Quarantine)
	}
	if len(reply.Samples) > 0 {
		s.o.OnSamples(fromWireSamples(reply.Samples))
	}
}

// setCursors stores the cursors of the reader at an address.
func (s *Store) setCursors(address string, cursors recordCursors) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.cursors[address]; !known && len(s.cursors) >= maxCursors {
		clear(s.cursors) // each reader then sends its records again, once
	}
	s.cursors[address] = cursors
}
