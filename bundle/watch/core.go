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

// judgement is one record's verdict, for logs and metrics.
type judgement struct {
	source  string // "log" or "peer"
	offset  uint64 // on the log
	verdict bundle.Verdict
	err     error
}

// The sources of a record.
const (
	sourceLog  = "log"
	sourcePeer = "peer"
)

// actions are what the runner must do after an event.
type actions struct {
	// fetch asks a peer; nil when there is nothing to ask.
	fetch *fetchJob
	// checkpoint is to be appended to the log; nil when none is due.
	checkpoint []byte
	judged     []judgement
	// thawed says that the process was found to have been frozen.
	thawed bool
}

// core decides all that a Watcher does. It is owned by one goroutine.
type core struct {
	chain   *bundle.Chain
	renewal *renewal
	ready   *readiness
	peers   *peers
	first   uint64 // the oldest offset the log keeps, as last read
}

func newCore(now time.Time, trust bundle.Trust, checkpointEvery time.Duration, rng *rand.Rand) *core {
	return &core{
		chain:   bundle.NewChain(trust),
		renewal: newRenewal(now, checkpointEvery, rng),
		ready:   newReadiness(now),
		peers:   newPeers(rng),
	}
}

// logRead takes the outcome of a read from an offset that began at a time.
func (c *core) logRead(now, began time.Time, from uint64, reply infraapi.ReadReply, err error) actions {
	var act actions
	switch {
	case errors.Is(err, infra.ErrTrimmed):
		c.first = reply.First
		c.chain.Trimmed(reply.First)
		return act
	case err != nil:
		c.ready.logRead(began, true, false, c.chain.CaughtUp(), c.behind())
		return act
	}
	c.first = reply.First
	c.chain.Live(reply.Next)
	for _, rec := range reply.Records {
		if rec.Offset != c.chain.Next() {
			// The chain moved to another offset meanwhile; the next read starts there.
			break
		}
		act.judged = append(act.judged, c.offerLog(now, rec))
	}
	atEnd := c.chain.Next() >= reply.Next && from <= reply.Next
	c.ready.logRead(began, false, atEnd, c.chain.CaughtUp(), c.behind())
	return act
}

func (c *core) offerLog(now time.Time, rec infraapi.Record) judgement {
	verdict, err := c.chain.OfferLog(rec.Offset, rec.Data)
	if verdict == bundle.Base || verdict == bundle.Confirmed {
		if through, ok := bundle.CheckpointThrough(rec.Data); ok {
			c.renewal.seen(now, through, time.UnixMilli(rec.TimeMS))
		}
	}
	return judgement{source: sourceLog, offset: rec.Offset, verdict: verdict, err: err}
}

// notice takes a peer's version from its heartbeat. It reports a peer that
// has another version for the number in force here.
func (c *core) notice(now time.Time, from wire.NodeID, number uint64, digest []byte) (conflict bool) {
	c.peers.notice(now, from, number)
	v := c.chain.InForce()
	return v != nil && number == v.Number && len(digest) > 0 && !bytes.Equal(digest, v.Digest[:])
}

// fetched takes a peer's answer to a call that began at a time.
func (c *core) fetched(now, began time.Time, job fetchJob, reply wire.BundleRecords, err error) actions {
	var act actions
	if err != nil || reply.Busy {
		c.peers.failed(now, job.from)
		return act
	}
	for _, record := range reply.Records {
		verdict, err := c.chain.Offer(record)
		act.judged = append(act.judged, judgement{source: sourcePeer, verdict: verdict, err: err})
		if verdict == bundle.Invalid || verdict == bundle.Unsupported || verdict == bundle.Gap {
			c.peers.failed(now, job.from)
			break
		}
	}
	c.peers.answered(job.from, reply.Number)
	if reply.CaughtUp && len(reply.Digest) == len(bundle.Digest{}) {
		c.seek(now, bundle.Digest(reply.Digest), reply.Through)
	}
	if reply.Number <= c.number() {
		c.ready.peerAnswered(began, c.chain.Based(), c.behind(), c.doubts())
	}
	return act
}

// seek takes a peer's place on the log. The checkpoint that the daemon will
// not read then counts as written now.
func (c *core) seek(now time.Time, digest bundle.Digest, through uint64) {
	if c.chain.SeekTo(digest, through) {
		c.renewal.seen(now, through, now)
	}
}

// tick is called a few times a second.
func (c *core) tick(now time.Time) actions {
	var act actions
	act.thawed = c.ready.tick(now)
	if c.chain.InForce() != nil {
		c.ready.settle(now, c.behind())
	}
	if c.chain.CaughtUp() && !c.ready.logDown && c.renewal.check(now, c.first, c.chain.Doubt()) {
		if data, ok := c.chain.Checkpoint(); ok {
			c.renewal.tried(now)
			act.checkpoint = data
		}
	}
	act.fetch = c.peers.next(now, need{
		number:  c.number(),
		urgent:  c.chain.InForce() == nil || c.ready.logDown,
		confirm: !c.ready.confirmed || !c.chain.Based(),
	})
	return act
}

func (c *core) number() uint64 {
	if v := c.chain.InForce(); v != nil {
		return v.Number
	}
	return 0
}

// behind reports whether a peer told of a higher version than the one in force.
func (c *core) behind() bool { return c.peers.highest() > c.number() }

// doubts reports whether the log holds a record that may have been in force by
// a key that is no longer trusted.
func (c *core) doubts() bool { return errors.Is(c.chain.Lost(), bundle.ErrUntrusted) }

// readyNow reports whether the version in force may be served.
func (c *core) readyNow() bool { return c.ready.confirmed && c.chain.InForce() != nil }
