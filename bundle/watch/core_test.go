package watch

import (
	"crypto/ed25519"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
)

var (
	start    = time.Unix(1_000_000, 0)
	ana, ben = testKey("ana", 1), testKey("ben", 2)
	trusted  = bundle.Trust{
		Authors:   map[string]ed25519.PublicKey{"ana": ana.Public()},
		Reviewers: map[string]ed25519.PublicKey{"ben": ben.Public()},
	}
	errDown = errors.New("the log is down")
	peerB   = wire.NodeID{Instance: "b", Incarnation: 1}
)

// testKey returns a key that is derived from a seed.
func testKey(id string, seed byte) bundle.Key {
	b := make([]byte, ed25519.SeedSize)
	b[0] = seed
	return bundle.Key{ID: id, Private: ed25519.NewKeyFromSeed(b)}
}

// must returns v and panics on an error, which only a mistake in the test causes.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// recordChain returns n signed snapshots; each one extends the one before it.
func recordChain(n int) [][]byte {
	var out [][]byte
	var body bundle.Body
	for i := range n {
		content := &bundle.Bundle{Policy: bundle.PolicyConfig{MaxAttempts: 1 + i%bundle.MaxAttempts}}
		body.Number, body.Kind, body.Payload = uint64(i)+1, bundle.KindSnapshot, must(bundle.EncodeBundle(content))
		raw := must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, ben))
		out = append(out, raw)
		body.ParentNumber, body.ParentDigest = body.Number, must(bundle.DecodeRecord(raw)).Digest()
	}
	return out
}

// coreHarness runs a core with a simulated clock.
type coreHarness struct {
	t    *testing.T
	now  time.Time
	core *core
}

// newCoreHarness returns a harness whose core trusts ana and ben.
func newCoreHarness(t *testing.T, seed uint64) *coreHarness {
	return newCoreHarnessWith(t, seed, trusted)
}

// newCoreHarnessWith returns a harness whose core has the given trusted keys.
func newCoreHarnessWith(t *testing.T, seed uint64, trust bundle.Trust) *coreHarness {
	return &coreHarness{t: t, now: start, core: newCore(start, trust, time.Hour, rand.New(rand.NewPCG(seed, 0)))}
}

// advance moves the clock on in steps of one tick, and returns the last fetch and
// the last checkpoint that the core asked for.
func (r *coreHarness) advance(d time.Duration) actions {
	var last actions
	for ; d > 0; d -= tickInterval {
		r.now = r.now.Add(tickInterval)
		act := r.core.tick(r.now)
		if act.fetch != nil {
			last.fetch = act.fetch
		}
		if act.checkpoint != nil {
			last.checkpoint = act.checkpoint
		}
	}
	return last
}

// readLog passes the records of a log, which retains those from offset first on, to
// the core until it has read to the end.
func (r *coreHarness) readLog(first uint64, log [][]byte) {
	for {
		from := r.core.chain.Next()
		reply := infraapi.ReadReply{First: first, Next: uint64(len(log))}
		if from < first {
			r.core.handleRead(r.now, r.now, from, reply, infra.ErrTrimmed)
			continue
		}
		if from < uint64(len(log)) {
			reply.Records = []infraapi.Record{{Offset: from, Data: log[from], TimeMS: r.now.UnixMilli()}}
		}
		r.core.handleRead(r.now, r.now, from, reply, nil)
		if r.core.chain.Next() >= uint64(len(log)) {
			return
		}
	}
}

// failRead passes a failed read of the log to the core.
func (r *coreHarness) failRead() {
	r.core.handleRead(r.now, r.now, r.core.chain.Next(), infraapi.ReadReply{}, errDown)
}

// respond passes a peer's response to a call to the core. from is the peer's core,
// and began the time at which the call was started.
func (r *coreHarness) respond(job *fetchJob, began time.Time, from *core) {
	v := from.chain.View()
	r.core.handleFetch(r.now, began, *job, wire.BundleRecords{
		Records: v.RecordsAfter(job.after), Number: v.Number, Digest: v.Digest[:], CaughtUp: v.CaughtUp, Through: v.Through,
	}, nil)
}

// check compares the version number in force and the readiness with the expected ones.
func (r *coreHarness) check(what string, number uint64, ready bool) {
	r.t.Helper()
	if r.core.number() != number || r.core.isReady() != ready {
		r.t.Errorf("%s: version %d, ready %t; want %d, %t", what, r.core.number(), r.core.isReady(), number, ready)
	}
}

func TestReadyFromLog(t *testing.T) {
	r := newCoreHarness(t, 1)
	records := recordChain(3)
	r.check("start", 0, false)
	r.readLog(0, nil)
	r.check("empty log", 0, false)
	from := r.core.chain.Next()
	r.core.handleRead(r.now, r.now, from, infraapi.ReadReply{Next: 3, Records: []infraapi.Record{{Data: records[0]}}}, nil)
	r.check("in the middle of the log", 1, false)
	r.readLog(0, records)
	r.check("at the log's end", 3, true)
	r.failRead()
	r.advance(time.Minute)
	r.check("log down later", 3, true)
}

// A daemon that starts while the log is unreachable must get the version from a
// peer, even if the first call fails, and must become ready only after it adopted
// the highest version that a peer announced. Otherwise it would never become
// ready, or would use an old version.
func TestReadyFromPeer(t *testing.T) {
	peer := newCoreHarness(t, 2)
	peer.readLog(0, recordChain(3))
	r := newCoreHarness(t, 1)
	r.failRead()
	r.advance(2 * unreachableTimeout)
	r.check("nobody to ask", 0, false)
	if r.core.ready.confirmed {
		t.Error("confirmed although no version is in force")
	}
	r.core.handleHeartbeat(r.now, peerB, 3, nil)
	job := r.advance(tickInterval).fetch
	if job == nil || job.from != peerB {
		t.Fatalf("called %v", job)
	}
	r.core.handleFetch(r.now, r.now, *job, wire.BundleRecords{}, errDown)
	r.check("answer lost", 0, false)
	if r.advance(failureBackoff/2).fetch != nil {
		t.Error("called a peer again within its backoff")
	}
	job = r.advance(failureBackoff).fetch
	if job == nil {
		t.Fatal("never called again")
	}
	r.respond(job, r.now, peer.core)
	r.check("adopted", 3, true)
}

// Retention dropped the start of the log, and no checkpoint is left. A daemon that
// starts now has no base, so reading the log to its end must not confirm its
// version, which may be old. It must get the version and a position from a peer.
func TestReadyWithoutBase(t *testing.T) {
	peer := newCoreHarness(t, 2)
	log := recordChain(3)
	peer.readLog(0, log)
	r := newCoreHarness(t, 1)
	r.readLog(1, log)
	r.check("no base", 0, false)
	r.core.handleHeartbeat(r.now, peerB, 3, nil)
	job := r.advance(confirmInterval).fetch
	if job == nil {
		t.Fatal("no peer was called")
	}
	r.respond(job, r.now, peer.core)
	r.check("adopted, the log not read from there yet", 3, false)
	r.readLog(1, log)
	r.check("log read to its end", 3, true)
	if !r.core.chain.CaughtUp() {
		t.Error("the peer's position on the log did not become the base")
	}
}

// A process is frozen for a minute, so its version may be outdated. Responses to
// reads and calls that were started before the freeze may be just as old and must
// not make the daemon ready again; those started after it must. If neither the log
// nor a peer responds, the daemon becomes ready after unreachableTimeout.
func TestThaw(t *testing.T) {
	log := recordChain(2)
	peer := newCoreHarness(t, 2)
	peer.readLog(0, log[:1])
	r := newCoreHarness(t, 1)
	r.readLog(0, log[:1])
	r.check("before", 1, true)
	before := r.now
	r.now = r.now.Add(time.Minute)
	if !r.core.tick(r.now).wasFrozen {
		t.Error("the freeze was not detected")
	}
	r.check("thawed", 1, false)
	r.core.handleRead(r.now, before, 1, infraapi.ReadReply{Next: 1}, nil)
	r.check("read from before the freeze", 1, false)
	r.failRead()
	r.core.handleHeartbeat(r.now, peerB, 1, nil)
	r.respond(&fetchJob{from: peerB, after: 1}, before, peer.core)
	r.check("peer's answer from before the freeze", 1, false)
	r.readLog(0, log)
	r.check("read again", 2, true)

	r.now = r.now.Add(time.Minute)
	r.core.tick(r.now)
	r.failRead()
	r.advance(unreachableTimeout - tickInterval)
	r.check("cut off from everybody", 2, false)
	r.advance(tickInterval)
	r.check("cut off for long", 2, true)
}

func TestFetchWaitsForTheLog(t *testing.T) {
	r := newCoreHarness(t, 1)
	r.readLog(0, recordChain(1))
	r.core.handleHeartbeat(r.now, peerB, 2, nil)
	if job := r.advance(fetchDelay - tickInterval).fetch; job != nil {
		t.Error("called a peer before the end of fetchDelay")
	}
	job := r.advance(tickInterval).fetch
	if job == nil || job.after != 1 {
		t.Fatalf("called %v", job)
	}
	if r.advance(time.Minute).fetch != nil {
		t.Error("a second call was made while one is in flight")
	}
	calls := 0
	for range 100 {
		r.core.handleFetch(r.now, r.now, *job, wire.BundleRecords{Records: [][]byte{{1}}, Number: 2}, nil)
		r.core.peers.versions[peerB] = peerVersion{number: 2, lastHeard: r.now}
		if r.advance(tickInterval).fetch != nil {
			calls++
		}
	}
	if limit := fetchBurst + int(100*tickInterval/time.Second)*fetchRate; calls > limit {
		t.Errorf("%d calls, want at most %d", calls, limit)
	}
}

func TestConflictIsNoticed(t *testing.T) {
	r := newCoreHarness(t, 1)
	r.readLog(0, recordChain(1))
	digest := r.core.chain.InForce().Digest
	if r.core.handleHeartbeat(r.now, peerB, 1, digest[:]) || !r.core.handleHeartbeat(r.now, peerB, 1, make([]byte, len(digest))) {
		t.Error("want a conflict for a peer with another record for the same number, and only then")
	}
}

// If retention drops the last checkpoint, because nothing was published for hours or
// because of a burst of records, daemons that start find no base. The daemons must
// append a checkpoint in time, but not all of them at once.
func TestRenewal(t *testing.T) {
	log := recordChain(2)
	daemons := make([]*coreHarness, 20)
	for i := range daemons {
		daemons[i] = newCoreHarness(t, uint64(i))
		daemons[i].readLog(0, log)
	}
	run := func(first uint64, d time.Duration) (appended int) {
		for ; d > 0; d -= time.Minute {
			var due [][]byte
			for _, r := range daemons {
				if act := r.advance(time.Minute); act.checkpoint != nil {
					due = append(due, act.checkpoint)
				}
			}
			log = append(log, due...)
			appended += len(due)
			for _, r := range daemons {
				r.readLog(first, log)
			}
		}
		return appended
	}
	if n := run(0, 55*time.Minute); n != 0 {
		t.Errorf("%d checkpoints within the period", n)
	}
	if n := run(0, 20*time.Minute); n < 1 || n > 5 {
		t.Errorf("%d checkpoints by 20 daemons after the period, want about 1", n)
	}
	if n := run(0, 30*time.Minute); n != 0 {
		t.Errorf("%d checkpoints although the last one is recent", n)
	}
	first := uint64(len(log))
	if n := run(first, 16*time.Minute); n < 1 || n > 5 {
		t.Errorf("%d checkpoints after the last one was trimmed, want about 1", n)
	}
	fresh := newCoreHarness(t, 99)
	fresh.readLog(first, log)
	fresh.check("fresh daemon on the trimmed log", 2, true)
}
