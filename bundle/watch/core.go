package watch

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// recordResult is the verdict on one record, for logs and metrics.
type recordResult struct {
	source  string // "log" or "peer"
	offset  uint64 // on the log; 0 for a record from a peer
	verdict bundle.Verdict
	err     error
}

// The sources of a record.
const (
	sourceLog  = "log"
	sourcePeer = "peer"
)

// actions is what the Watcher must do after the core handled an event.
type actions struct {
	// fetch is a call to make to a peer; nil for none.
	fetch *fetchJob
	// checkpoint must be appended to the log; nil if none is due.
	checkpoint []byte
	results    []recordResult
	// wasFrozen is set if the process was suspended for longer than freezeThreshold.
	wasFrozen bool
}

// core makes all decisions of a Watcher. It does no I/O and must be used by one
// goroutine only.
type core struct {
	chain       *bundle.Chain
	checkpoints *checkpointSchedule
	ready       *readiness
	peers       *peers
	oldest      uint64 // the oldest offset that the log retains, as of the last read
}

func newCore(now time.Time, trust bundle.Trust, checkpointEvery time.Duration, rng *rand.Rand) *core {
	return &core{
		chain:       bundle.NewChain(trust),
		checkpoints: newCheckpointSchedule(now, checkpointEvery, rng),
		ready:       newReadiness(now),
		peers:       newPeers(rng),
	}
}

// handleRead processes the result of a read of the log from an offset. began is
// the time at which the read was started.
func (c *core) handleRead(now, began time.Time, from uint64, reply infraapi.ReadReply, err error) actions {
	var act actions
	switch {
	case errors.Is(err, infra.ErrTrimmed):
		c.oldest = reply.First
		c.chain.Trimmed(reply.First)
		return act
	case err != nil:
		c.ready.handleRead(began, true, false, c.chain.CaughtUp(), c.peerAhead())
		return act
	}
	c.oldest = reply.First
	c.chain.SetStartEnd(reply.Next)
	for _, rec := range reply.Records {
		if rec.Offset != c.chain.Next() {
			// The chain's next offset was changed by a peer's position or by a checkpoint
			// in this reply; the next read starts at the new offset.
			break
		}
		act.results = append(act.results, c.offerLog(now, rec))
	}
	atEnd := c.chain.Next() >= reply.Next && from <= reply.Next
	c.ready.handleRead(began, false, atEnd, c.chain.CaughtUp(), c.peerAhead())
	return act
}

// offerLog offers a log record to the chain. A valid checkpoint postpones this
// daemon's next one.
func (c *core) offerLog(now time.Time, rec infraapi.Record) recordResult {
	verdict, err := c.chain.OfferLog(rec.Offset, rec.Data)
	if verdict == bundle.Base || verdict == bundle.Confirmed {
		if through, ok := bundle.CheckpointThrough(rec.Data); ok {
			c.checkpoints.observe(now, through, time.UnixMilli(rec.TimeMS))
		}
	}
	return recordResult{source: sourceLog, offset: rec.Offset, verdict: verdict, err: err}
}

// handleHeartbeat records a peer's version. It reports a conflict if the peer has
// another record than this daemon for the number in force here.
func (c *core) handleHeartbeat(now time.Time, from wire.NodeID, number uint64, digest []byte) (conflict bool) {
	c.peers.update(now, from, number)
	v := c.chain.InForce()
	return v != nil && number == v.Number && len(digest) > 0 && !bytes.Equal(digest, v.Digest[:])
}

// handleFetch processes a peer's response to a call, or the call's error. began is
// the time at which the call was started.
func (c *core) handleFetch(now, began time.Time, job fetchJob, reply wire.BundleRecords, err error) actions {
	var act actions
	if err != nil || reply.Busy {
		c.peers.failed(now, job.from)
		return act
	}
	for _, record := range reply.Records {
		verdict, err := c.chain.Offer(record)
		act.results = append(act.results, recordResult{source: sourcePeer, verdict: verdict, err: err})
		if verdict == bundle.Invalid || verdict == bundle.Unsupported || verdict == bundle.Gap {
			c.peers.failed(now, job.from)
			break
		}
	}
	c.peers.succeeded(job.from, reply.Number)
	if reply.CaughtUp && len(reply.Digest) == len(bundle.Digest{}) {
		c.usePeerPosition(now, bundle.Digest(reply.Digest), reply.Through)
	}
	if reply.Number <= c.number() {
		c.ready.handlePeerResponse(began, c.chain.HasBase(), c.peerAhead(), c.untrustedRecord())
	}
	return act
}

// usePeerPosition offers the chain a peer's position on the log as the base. If it
// is accepted, the chain may skip the last checkpoint on the log. The schedule then
// treats the position as a checkpoint that was written now.
func (c *core) usePeerPosition(now time.Time, digest bundle.Digest, through uint64) {
	if c.chain.SeekTo(digest, through) {
		c.checkpoints.observe(now, through, now)
	}
}

// tick is called every tickInterval.
func (c *core) tick(now time.Time) actions {
	var act actions
	act.wasFrozen = c.ready.tick(now)
	if c.chain.InForce() != nil {
		c.ready.confirmOnTimeout(now, c.peerAhead())
	}
	if c.chain.CaughtUp() && !c.ready.readFailed && c.checkpoints.isDue(now, c.oldest, c.chain.UnverifiedEnd()) {
		if data, ok := c.chain.Checkpoint(); ok {
			c.checkpoints.appendStarted(now)
			act.checkpoint = data
		}
	}
	act.fetch = c.peers.nextCall(now, fetchNeed{
		number:  c.number(),
		urgent:  c.chain.InForce() == nil || c.ready.readFailed,
		confirm: !c.ready.confirmed || !c.chain.HasBase(),
	})
	return act
}

// number returns the number of the version in force, or 0.
func (c *core) number() uint64 {
	if v := c.chain.InForce(); v != nil {
		return v.Number
	}
	return 0
}

// peerAhead reports whether a peer announced a higher version than the one in force here.
func (c *core) peerAhead() bool { return c.peers.highest() > c.number() }

// untrustedRecord reports whether the chain has no base because of a log record that
// may have been adopted under a key that is no longer trusted.
func (c *core) untrustedRecord() bool { return errors.Is(c.chain.NoBaseCause(), bundle.ErrUntrusted) }

// isReady reports whether there is a version in force and it is confirmed as current.
func (c *core) isReady() bool { return c.ready.confirmed && c.chain.InForce() != nil }
