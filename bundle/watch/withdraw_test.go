package watch

import (
	"crypto/ed25519"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// kim is a reviewer whose key was withdrawn.
var (
	kim      = testKey("kim", 3)
	formerly = bundle.Trust{
		Authors:   trusted.Authors,
		Reviewers: map[string]ed25519.PublicKey{"ben": ben.Public(), "kim": kim.Public()},
	}
)

// firstByKim returns two snapshots; the first was reviewed by kim.
func firstByKim() [][]byte {
	first := must(bundle.DecodeRecord(chainOf(1)[0]))
	old := must(bundle.Review(must(bundle.NewDraft(first.Body, ana)), trusted.Authors, kim))
	body := first.Body
	body.Number, body.ParentNumber, body.ParentDigest = 2, 1, must(bundle.DecodeRecord(old)).Digest()
	return [][]byte{old, must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, ben))}
}

// Symptom: after a signing key was withdrawn, a restarted daemon answers with its peer's version but stays unready.
// Sequence: version 1 by the old key, a snapshot by the new one; one daemon restarts without the old key and asks
// its peer; then, with a checkpoint on the log, one that has no peer.
// Cause: the log's start was kept as the base although the log could not be judged from there.
func TestWithdrawnKey(t *testing.T) {
	log := firstByKim()
	peer := newRigWith(t, 2, formerly)
	peer.read(0, log)
	peer.want("peer", 2, true)

	r := newRig(t, 1)
	r.read(0, log)
	r.want("log alone", 0, false)
	r.core.notice(r.now, peerB, 2, nil)
	r.answer(r.pass(confirmEvery).fetch, r.now, peer.core)
	r.read(0, log)
	r.want("peer asked", 2, true)

	data, ok := peer.core.chain.Checkpoint()
	if !ok {
		t.Fatal("no checkpoint")
	}
	alone := newRig(t, 3)
	alone.read(0, append(log, data))
	alone.want("checkpoint", 2, true)
}

// Symptom: all daemons restarted without the old key serve a version that was replaced long ago.
// Sequence: version 2 was in force by the old key; two daemons start without it, with version 1 from the log, and ask each other.
// Cause: a peer that cannot judge the log either knows nothing; only a base from behind the record does.
func TestWithdrawnKeyOfTheVersionInForce(t *testing.T) {
	log := chainOf(1)
	body := must(bundle.DecodeRecord(log[0])).Body
	body.Number, body.ParentNumber, body.ParentDigest = 2, 1, must(bundle.DecodeRecord(log[0])).Digest()
	log = append(log, must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, kim)))
	r, peer := newRig(t, 1), newRig(t, 2)
	r.read(0, log)
	peer.read(0, log)
	r.core.notice(r.now, peerB, 1, nil)
	r.answer(r.pass(confirmEvery).fetch, r.now, peer.core)
	r.want("a peer that does not know better", 1, false)
}

// Symptom: daemons that start after a badly signed record stay unready for a whole checkpoint period.
// Sequence: such a record is appended while daemons run; all are restarted some minutes later.
// Cause: those who saw it come know that it is rubbish, and have to say so soon by a checkpoint from behind it.
func TestMadeUpRecordIsPassedBySoon(t *testing.T) {
	log := chainOf(1)
	r := newRig(t, 1)
	r.read(0, log)
	r.want("before", 1, true)
	if r.pass(30*time.Minute).checkpoint != nil {
		t.Error("a checkpoint without need")
	}
	body := must(bundle.DecodeRecord(log[0])).Body
	body.Number, body.ParentNumber, body.ParentDigest = 2, 1, must(bundle.DecodeRecord(log[0])).Digest()
	log = append(log, must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, kim)))
	r.read(0, log)
	r.want("live", 1, true)
	data := r.pass(15*time.Minute + time.Second).checkpoint
	if data == nil {
		t.Fatal("no checkpoint")
	}
	fresh := newRig(t, 2)
	fresh.read(0, log)
	fresh.want("before the checkpoint", 1, false)
	fresh.read(0, append(log, data))
	fresh.want("after it", 1, true)
}
