package watch

import (
	"crypto/ed25519"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// kim is a reviewer whose key was withdrawn: trustWithKim are the trusted keys
// before the withdrawal, trusted those after it.
var (
	kim          = testKey("kim", 3)
	trustWithKim = bundle.Trust{
		Authors:   trusted.Authors,
		Reviewers: map[string]ed25519.PublicKey{"ben": ben.Public(), "kim": kim.Public()},
	}
)

// firstByKim returns the records of two versions; the first was reviewed by kim,
// the second by ben.
func firstByKim() [][]byte {
	first := must(bundle.DecodeRecord(recordChain(1)[0]))
	old := must(bundle.Review(must(bundle.NewDraft(first.Body, ana)), trusted.Authors, kim))
	body := first.Body
	body.Number, body.ParentNumber, body.ParentDigest = 2, 1, must(bundle.DecodeRecord(old)).Digest()
	return [][]byte{old, must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, ben))}
}

// Version 1 was signed with a key that was withdrawn later, version 2 with another
// key. A daemon that restarts without the withdrawn key cannot evaluate the log from
// its start, and must become ready through a peer's position or a checkpoint. If it
// kept the start of the log as its base, it would ignore both and stay unready.
func TestWithdrawnKey(t *testing.T) {
	log := firstByKim()
	peer := newCoreHarnessWith(t, 2, trustWithKim)
	peer.readLog(0, log)
	peer.check("peer", 2, true)

	r := newCoreHarness(t, 1)
	r.readLog(0, log)
	r.check("log alone", 0, false)
	r.core.handleHeartbeat(r.now, peerB, 2, nil)
	r.respond(r.advance(confirmInterval).fetch, r.now, peer.core)
	r.readLog(0, log)
	r.check("peer asked", 2, true)

	data, ok := peer.core.chain.Checkpoint()
	if !ok {
		t.Fatal("no checkpoint")
	}
	alone := newCoreHarness(t, 3)
	alone.readLog(0, append(log, data))
	alone.check("checkpoint", 2, true)
}

// Version 2 was adopted under a key that was withdrawn later. Two daemons start
// without that key, get version 1 from the log, and call each other. Neither must
// become ready, because version 1 was replaced long ago: a peer that cannot evaluate
// the log confirms nothing. They need a base after version 2.
func TestWithdrawnKeyOfTheVersionInForce(t *testing.T) {
	log := recordChain(1)
	body := must(bundle.DecodeRecord(log[0])).Body
	body.Number, body.ParentNumber, body.ParentDigest = 2, 1, must(bundle.DecodeRecord(log[0])).Digest()
	log = append(log, must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, kim)))
	r, peer := newCoreHarness(t, 1), newCoreHarness(t, 2)
	r.readLog(0, log)
	peer.readLog(0, log)
	r.core.handleHeartbeat(r.now, peerB, 1, nil)
	r.respond(r.advance(confirmInterval).fetch, r.now, peer.core)
	r.check("a peer that does not know better", 1, false)
}

// A wrongly signed record is appended while daemons run. They skip it, but a daemon
// that starts later cannot, and stays unready until there is a checkpoint after the
// record. The running daemons must append one well before the checkpoint period ends.
func TestMadeUpRecordIsPassedBySoon(t *testing.T) {
	log := recordChain(1)
	r := newCoreHarness(t, 1)
	r.readLog(0, log)
	r.check("before", 1, true)
	if r.advance(30*time.Minute).checkpoint != nil {
		t.Error("a checkpoint without need")
	}
	body := must(bundle.DecodeRecord(log[0])).Body
	body.Number, body.ParentNumber, body.ParentDigest = 2, 1, must(bundle.DecodeRecord(log[0])).Digest()
	log = append(log, must(bundle.Review(must(bundle.NewDraft(body, ana)), trusted.Authors, kim)))
	r.readLog(0, log)
	r.check("live", 1, true)
	data := r.advance(15*time.Minute + time.Second).checkpoint
	if data == nil {
		t.Fatal("no checkpoint")
	}
	fresh := newCoreHarness(t, 2)
	fresh.readLog(0, log)
	fresh.check("before the checkpoint", 1, false)
	fresh.readLog(0, append(log, data))
	fresh.check("after it", 1, true)
}
