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

func testKey(id string, seed byte) bundle.Key {
	b := make([]byte, ed25519.SeedSize)
	b[0] = seed
	return bundle.Key{ID: id, Private: ed25519.NewKeyFromSeed(b)}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// chainOf returns n signed records, each on the one before.
func chainOf(n int) [][]byte {
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

// rig is a core with a clock of the test's own.
type rig struct {
	t    *testing.T
	now  time.Time
	core *core
}

func newRig(t *testing.T, seed uint64) *rig { return newRigWith(t, seed, trusted) }

func newRigWith(t *testing.T, seed uint64, trust bundle.Trust) *rig {
	return &rig{t: t, now: start, core: newCore(start, trust, time.Hour, rand.New(rand.NewPCG(seed, 0)))}
}

func (r *rig) pass(d time.Duration) actions {
	var last actions
	for ; d > 0; d -= tickEvery {
		r.now = r.now.Add(tickEvery)
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

// read feeds a read from the chain's place of a log that keeps records from first on.
func (r *rig) read(first uint64, log [][]byte) {
	for {
		from := r.core.chain.Next()
		reply := infraapi.ReadReply{First: first, Next: uint64(len(log))}
		if from < first {
			r.core.logRead(r.now, r.now, from, reply, infra.ErrTrimmed)
			continue
		}
		if from < uint64(len(log)) {
			reply.Records = []infraapi.Record{{Offset: from, Data: log[from], TimeMS: r.now.UnixMilli()}}
		}
		r.core.logRead(r.now, r.now, from, reply, nil)
		if r.core.chain.Next() >= uint64(len(log)) {
			return
		}
	}
}

func (r *rig) down() {
	r.core.logRead(r.now, r.now, r.core.chain.Next(), infraapi.ReadReply{}, errDown)
}

// answer feeds a peer's answer to the call that the core asked for.
func (r *rig) answer(job *fetchJob, began time.Time, from *core) {
	v := from.chain.View()
	r.core.fetched(r.now, began, *job, wire.BundleRecords{
		Records: v.RecordsAfter(job.after), Number: v.Number, Digest: v.Digest[:], CaughtUp: v.CaughtUp, Through: v.Through,
	}, nil)
}

func (r *rig) want(what string, number uint64, ready bool) {
	r.t.Helper()
	if r.core.number() != number || r.core.readyNow() != ready {
		r.t.Errorf("%s: version %d, ready %t; want %d, %t", what, r.core.number(), r.core.readyNow(), number, ready)
	}
}

func TestReadyFromLog(t *testing.T) {
	r := newRig(t, 1)
	records := chainOf(3)
	r.want("start", 0, false)
	r.read(0, nil)
	r.want("empty log", 0, false)
	from := r.core.chain.Next()
	r.core.logRead(r.now, r.now, from, infraapi.ReadReply{Next: 3, Records: []infraapi.Record{{Data: records[0]}}}, nil)
	r.want("in the middle of the log", 1, false)
	r.read(0, records)
	r.want("at the log's end", 3, true)
	r.down()
	r.pass(time.Minute)
	r.want("log down later", 3, true)
}

// Symptom: a daemon that starts in a data centre cut off from the log never serves, or serves an old version.
// Sequence: the log is down; a peer tells of version 3; the daemon fetches; the answer is lost once.
// Cause: with the log silent, a peer's highest number has to count, and only once it is adopted.
func TestReadyFromPeer(t *testing.T) {
	peer := newRig(t, 2)
	peer.read(0, chainOf(3))
	r := newRig(t, 1)
	r.down()
	r.pass(2 * giveUpAfter)
	r.want("nobody to ask", 0, false)
	if r.core.ready.confirmed {
		t.Error("nothing in force was confirmed")
	}
	r.core.notice(r.now, peerB, 3, nil)
	job := r.pass(tickEvery).fetch
	if job == nil || job.from != peerB {
		t.Fatalf("asked %v", job)
	}
	r.core.fetched(r.now, r.now, *job, wire.BundleRecords{}, errDown)
	r.want("answer lost", 0, false)
	if r.pass(failedPause/2).fetch != nil {
		t.Error("asked a peer again at once that had failed")
	}
	job = r.pass(failedPause).fetch
	if job == nil {
		t.Fatal("never asked again")
	}
	r.answer(job, r.now, peer.core)
	r.want("adopted", 3, true)
}

// Symptom: a daemon that starts while retention dropped every base takes an old version as current.
// Sequence: the log is read to its end but holds no checkpoint; a peer is asked.
// Cause: the end of a log that cannot be judged proves nothing.
func TestReadyWithoutBase(t *testing.T) {
	peer := newRig(t, 2)
	log := chainOf(3)
	peer.read(0, log)
	r := newRig(t, 1)
	r.read(1, log)
	r.want("no base", 0, false)
	r.core.notice(r.now, peerB, 3, nil)
	job := r.pass(confirmEvery).fetch
	if job == nil {
		t.Fatal("no peer was asked")
	}
	r.answer(job, r.now, peer.core)
	r.want("adopted, the log not read from there yet", 3, false)
	r.read(1, log)
	r.want("log read to its end", 3, true)
	if !r.core.chain.CaughtUp() {
		t.Error("the peer's place on the log was not taken")
	}
}

// Symptom: a thawed daemon says it is ready with the version it had before the freeze.
// Sequence: frozen for a minute; answers to a read and a call from before the freeze arrive; then fresh ones.
// Cause: an answer to a call that began before the freeze is as old as the freeze.
func TestThaw(t *testing.T) {
	log := chainOf(2)
	peer := newRig(t, 2)
	peer.read(0, log[:1])
	r := newRig(t, 1)
	r.read(0, log[:1])
	r.want("before", 1, true)
	before := r.now
	r.now = r.now.Add(time.Minute)
	if !r.core.tick(r.now).thawed {
		t.Error("the freeze went unnoticed")
	}
	r.want("thawed", 1, false)
	r.core.logRead(r.now, before, 1, infraapi.ReadReply{Next: 1}, nil)
	r.want("read from before the freeze", 1, false)
	r.down()
	r.core.notice(r.now, peerB, 1, nil)
	r.answer(&fetchJob{from: peerB, after: 1}, before, peer.core)
	r.want("peer's answer from before the freeze", 1, false)
	r.read(0, log)
	r.want("read again", 2, true)

	r.now = r.now.Add(time.Minute)
	r.core.tick(r.now)
	r.down()
	r.pass(giveUpAfter - tickEvery)
	r.want("cut off from everybody", 2, false)
	r.pass(tickEvery)
	r.want("cut off for long", 2, true)
}

func TestFetchWaitsForTheLog(t *testing.T) {
	r := newRig(t, 1)
	r.read(0, chainOf(1))
	r.core.notice(r.now, peerB, 2, nil)
	if job := r.pass(fetchDelay - tickEvery).fetch; job != nil {
		t.Error("asked a peer before the log had its time")
	}
	job := r.pass(tickEvery).fetch
	if job == nil || job.after != 1 {
		t.Fatalf("asked %v", job)
	}
	if r.pass(time.Minute).fetch != nil {
		t.Error("a second call is out")
	}
	calls := 0
	for range 100 {
		r.core.fetched(r.now, r.now, *job, wire.BundleRecords{Records: [][]byte{{1}}, Number: 2}, nil)
		r.core.peers.versions[peerB] = peerVersion{number: 2, heard: r.now}
		if r.pass(tickEvery).fetch != nil {
			calls++
		}
	}
	if limit := fetchBurst + int(100*tickEvery/time.Second)*fetchRate; calls > limit {
		t.Errorf("%d calls, the bound is %d", calls, limit)
	}
}

func TestConflictIsNoticed(t *testing.T) {
	r := newRig(t, 1)
	r.read(0, chainOf(1))
	digest := r.core.chain.InForce().Digest
	if r.core.notice(r.now, peerB, 1, digest[:]) || !r.core.notice(r.now, peerB, 1, make([]byte, len(digest))) {
		t.Error("a peer with another record for our number must be noticed, and only that")
	}
}

// Symptom: retention drops the version in force, and daemons that start find no base.
// Sequence: nothing is published for hours; or a burst of records makes retention drop the last checkpoint early.
// Cause: somebody has to append a checkpoint in time, and a whole fleet must not do it at once.
func TestRenewal(t *testing.T) {
	log := chainOf(2)
	fleet := make([]*rig, 20)
	for i := range fleet {
		fleet[i] = newRig(t, uint64(i))
		fleet[i].read(0, log)
	}
	run := func(first uint64, d time.Duration) (appended int) {
		for ; d > 0; d -= time.Minute {
			var due [][]byte
			for _, r := range fleet {
				if act := r.pass(time.Minute); act.checkpoint != nil {
					due = append(due, act.checkpoint)
				}
			}
			log = append(log, due...)
			appended += len(due)
			for _, r := range fleet {
				r.read(first, log)
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
		t.Errorf("%d checkpoints although one is fresh", n)
	}
	first := uint64(len(log))
	if n := run(first, 16*time.Minute); n < 1 || n > 5 {
		t.Errorf("%d checkpoints after the last was made unusable, want about 1", n)
	}
	fresh := newRig(t, 99)
	fresh.read(first, log)
	fresh.want("fresh daemon on the trimmed log", 2, true)
}
