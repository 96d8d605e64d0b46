package failure

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/settings"
)

// operators hold keys that the daemons trust, besides the publisher's.
type operators struct{ author, reviewer bundle.Key }

func newOperators(t testing.TB) *operators {
	t.Helper()
	o := &operators{}
	var err error
	if o.author, err = bundle.GenerateKey("ana"); err != nil {
		t.Fatal(err)
	}
	if o.reviewer, err = bundle.GenerateKey("ravi"); err != nil {
		t.Fatal(err)
	}
	return o
}

// trusted adds the operators' keys to the daemons' settings.
func (o *operators) trusted(l *testbed.Layout) {
	before := l.Settings
	l.Settings = func(n int, s *settings.Settings) {
		before(n, s)
		s.Bundle.Authors[o.author.ID] = bundle.FormatPublicKey(o.author.Public())
		s.Bundle.Reviewers[o.reviewer.ID] = bundle.FormatPublicKey(o.reviewer.Public())
	}
}

// draft returns the operators' unsigned next version, which raises the team's weight.
func (o *operators) draft(r *rig, weight int) []byte {
	r.t.Helper()
	b := *r.last
	b.Teams = map[string]bundle.Team{testbed.Team: {KeyDigests: r.last.Teams[testbed.Team].KeyDigests, Weight: weight, Class: bundle.Draft}}
	next, err := r.Publisher.Sign(&b)
	r.must(err)
	body := next.Body
	draft, err := bundle.NewDraft(bundle.Body{
		Number: body.Number, ParentNumber: body.ParentNumber, ParentDigest: body.ParentDigest,
		Kind: body.Kind, Payload: body.Payload, CreatedAtMS: body.CreatedAtMS,
	}, o.author)
	r.must(err)
	return draft
}

func (o *operators) signed(r *rig, weight int) []byte {
	r.t.Helper()
	raw, err := bundle.Review(o.draft(r, weight), o.authors(), o.reviewer)
	r.must(err)
	return raw
}

func (r *rig) logClient() *platform.LogClient {
	return platform.NewLog("http://"+r.Log.Listen, client)
}

func bundleStream() string { return settings.Defaults().Bundle.Stream }

// status returns a daemon's word on the version in force.
func (r *rig) status(d *testbed.Daemon) (adminapi.BundleStatus, error) {
	var out adminapi.BundleStatus
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+d.AdminAddress+adminapi.PathBundle, nil)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+d.AdminToken)
	return out, getJSON(req, &out)
}

// agree waits until all daemons that run have the same record of version n.
func (r *rig) agree(n uint64) string {
	r.t.Helper()
	r.inForce(n, r.Daemons...)
	digest := ""
	for _, d := range r.Daemons {
		s, err := r.status(d)
		r.must(err)
		if digest == "" {
			digest = s.Digest
		}
		if s.Digest != digest {
			r.t.Errorf("version %d is %s on %s and %s elsewhere", n, s.Digest, d.Name, digest)
		}
	}
	return digest
}

// forward watches every daemon until the test ends: within its life no daemon
// may go back to an older version.
func (r *rig) forward() {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	for _, d := range r.Daemons {
		wg.Go(func() { r.watchForward(ctx, d) })
	}
	r.t.Cleanup(func() { cancel(); wg.Wait() })
}

func (r *rig) watchForward(ctx context.Context, d *testbed.Daemon) {
	var highest uint64
	tick := time.NewTicker(2 * pollEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		if s, err := r.status(d); err == nil && s.Number > 0 {
			if s.Number < highest {
				r.t.Errorf("%s went back from version %d to %d", d.Name, highest, s.Number)
			}
			highest = s.Number
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Symptom: data centres run different versions, or an operator believes in a
// version that is not in force.
// Sequence: two operators publish records of the same number at once; the log is
// well, loses replies or records twice.
// Cause: a race decided by each daemon by itself, or not told to its loser.
func TestPublish(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]logsvc.Faults{
		"publish/operators-race":                     {},
		"publish/operators-race+log-reply-lost":      {LoseReply: true},
		"publish/operators-race+log-record-repeated": {Duplicate: true},
		"publish/operators-race+log-slow":            {DelayMS: 300},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newOperators(t)
			r := start(t, o.trusted)
			r.forward()
			f.Stream = bundleStream()
			one, two := o.signed(r, 2), o.signed(r, 3)
			r.setLog(f, 0)
			var wg sync.WaitGroup
			for _, raw := range [][]byte{one, two} {
				wg.Go(func() { _, _ = r.logClient().Append(r.ctx, bundleStream(), raw) })
			}
			wg.Wait()
			r.setLog(logsvc.Faults{}, 0)
			r.judged(o, r.agree(2), one, two)
		})
	}
}

// Symptom: an operator whose append went through is told that it failed, and
// publishes again on top of what is in force.
// Sequence: the reply to the one append is lost.
// Cause: a lost reply taken for a lost record.
func TestPublishReplyLost(t *testing.T) {
	t.Parallel()
	o := newOperators(t)
	r := start(t, o.trusted)
	r.forward()
	t.Run("publish/log-reply-lost", func(t *testing.T) {
		r := r.under(t)
		r.setLog(logsvc.Faults{Stream: bundleStream(), LoseReply: true}, 1)
		if _, err := r.logClient().Append(r.ctx, bundleStream(), o.signed(r, 4)); err == nil {
			t.Fatal("the reply was not lost")
		}
		r.agree(2)
	})
}

// judged replays the log as the operators' tool does: one record won, the other
// is told that it lost, and the winner is what the daemons run.
func (r *rig) judged(o *operators, digest string, records ...[]byte) {
	r.t.Helper()
	s, err := settings.Load(r.Daemons[0].SettingsFile)
	r.must(err)
	trust, err := bundle.TrustConfig{Authors: s.Bundle.Authors, Reviewers: s.Bundle.Reviewers}.Trust()
	r.must(err)
	chain := bundle.NewChain(trust)
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 100, 0)
	r.must(err)
	verdicts := map[int]bundle.Verdict{}
	for _, x := range log.Records {
		verdict, _ := chain.OfferLog(x.Offset, x.Data)
		for n, raw := range records {
			if _, before := verdicts[n]; !before && bytes.Equal(raw, x.Data) {
				verdicts[n] = verdict
			}
		}
	}
	if (verdicts[0] == bundle.Adopted) == (verdicts[1] == bundle.Adopted) {
		r.t.Errorf("not one winner: %v", verdicts)
	}
	if v := chain.InForce(); v == nil || bundle.FormatDigest(v.Digest) != digest {
		r.t.Errorf("the daemons run %s, the log says %+v", digest, v)
	}
}

// Symptom: a version that nobody reviewed is in force.
// Sequence: records come on the log that are damaged, not reviewed, reviewed by
// their author or signed by strangers; then a good one comes.
// Cause: a record adopted before its signatures were checked.
func TestForged(t *testing.T) {
	t.Parallel()
	o := newOperators(t)
	r := start(t, o.trusted)
	r.forward()
	stranger, err := testbed.NewPublisher("http://" + r.Log.Listen)
	r.must(err)
	strange, err := stranger.Sign(r.last)
	r.must(err)
	own, err := bundle.Review(o.draft(r, 5), o.authors(), bundle.Key{ID: o.reviewer.ID, Private: o.author.Private})
	if err != nil { // the library refuses to make one
		own = o.draft(r, 5)
	}
	damaged := bytes.Clone(o.signed(r, 6))
	damaged[len(damaged)/2] ^= 1
	t.Run("adopt/forged-record", func(t *testing.T) {
		r := r.under(t)
		forged := [][]byte{o.draft(r, 7), own, damaged, strange.Raw(), []byte("not a record")}
		for _, raw := range forged {
			_, err := r.logClient().Append(r.ctx, bundleStream(), raw)
			r.must(err)
		}
		good := o.signed(r, 8)
		_, err := r.logClient().Append(r.ctx, bundleStream(), good)
		r.must(err)
		record, err := bundle.DecodeRecord(good)
		r.must(err)
		if digest := r.agree(2); digest != bundle.FormatDigest(record.Digest()) {
			t.Errorf("in force is %s", digest)
		}
	})
}

// Symptom: a data centre runs an old version, or goes back to one.
// Sequence: a version is published while the log, the links or daemons fail;
// then they are well again.
// Cause: a version that is learnt in one way alone, or taken from whoever speaks.
func TestAdopt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault, heal func(*rig)
		// reached are the daemons that must have the version before heal.
		reached []int
	}{
		"adopt/platform-cut":    {fault: func(r *rig) { r.SetPlatform("dc1", testbed.Cut) }, reached: []int{0, 1, 2}},
		"adopt/log-slow":        {fault: func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), DelayMS: 500}, 0) }, reached: []int{0, 1, 2}},
		"adopt/data-centre-cut": {fault: func(r *rig) { r.SetPeers("dc1", "dc2", testbed.Cut) }, reached: []int{0, 1, 2}},
		"adopt/platform-cut+data-centre-cut": {
			fault:   func(r *rig) { r.SetPlatform("dc1", testbed.Cut); r.SetPeers("dc1", "dc2", testbed.Cut) },
			heal:    func(r *rig) { r.SetPlatform("dc1", testbed.Open); r.SetPeers("dc1", "dc2", testbed.Open) },
			reached: []int{1},
		},
		"adopt/connection-stalled": {fault: func(r *rig) { r.SetPlatform("dc1", testbed.Stalled) }, reached: []int{0, 1, 2}},
		"adopt/daemon-killed":      {fault: func(r *rig) { r.Daemons[0].Kill() }, heal: func(r *rig) { r.must(r.StartDaemons(r.ctx)) }, reached: []int{1, 2}},
		"adopt/daemon-frozen": {
			fault:   func(r *rig) { r.must(r.Daemons[0].Freeze(r.ctx)) },
			heal:    func(r *rig) { r.must(r.Daemons[0].Thaw()) },
			reached: []int{1, 2},
		},
		"adopt/daemon-frozen+platform-cut": {
			fault:   func(r *rig) { r.must(r.Daemons[0].Freeze(r.ctx)); r.SetPlatform("dc1", testbed.Cut) },
			heal:    func(r *rig) { r.must(r.Daemons[0].Thaw()) },
			reached: []int{1, 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			r.forward()
			c.fault(r)
			n := r.publish(generous)
			for _, i := range c.reached {
				r.inForce(n, r.Daemons[i])
			}
			if c.heal != nil {
				c.heal(r)
			}
			r.inForce(n, r.Daemons...)
		})
	}
	t.Run("adopt/log-down", func(t *testing.T) {
		t.Parallel()
		r := start(t)
		r.forward()
		r.setLog(logDown, 0)
		if _, err := r.Publisher.Publish(r.ctx, r.last); err == nil {
			t.Fatal("published while the log was down")
		}
		r.probe(r.Daemons...)
		r.setLog(logsvc.Faults{}, 0)
		r.inForce(r.publish(generous), r.Daemons...)
	})
}

// Symptom: a daemon that was replaced serves an old version, or none though its
// peers have one.
// Sequence: a version is in force; a daemon is killed and started again, with the
// log down or cut, or cut from its peers too; then all is well again.
// Cause: a version taken from the first source that answers, or only from the log.
func TestRestartAdopt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault func(*rig)
		alone bool
	}{
		"restart-adopt/daemon-killed":      {fault: func(*rig) {}},
		"restart-adopt/log-down":           {fault: func(r *rig) { r.setLog(logDown, 0) }},
		"restart-adopt/log-slow":           {fault: func(r *rig) { r.setLog(logsvc.Faults{DelayMS: 1000}, 0) }},
		"restart-adopt/platform-cut":       {fault: func(r *rig) { r.SetPlatform("dc2", testbed.Cut) }},
		"restart-adopt/connection-stalled": {fault: func(r *rig) { r.SetPlatform("dc2", testbed.Stalled) }},
		"restart-adopt/data-centre-cut":    {fault: func(r *rig) { r.SetPeers("dc1", "dc2", testbed.Cut) }},
		"restart-adopt/data-centre-cut+platform-cut": {alone: true, fault: func(r *rig) {
			r.SetPlatform("dc2", testbed.Cut)
			r.SetPeers("dc1", "dc2", testbed.Cut)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			r.forward()
			n := r.roll(generous)
			d := r.Daemons[1]
			d.Kill()
			c.fault(r)
			r.must(r.StartDaemon(r.ctx, 1))
			if c.alone {
				if g := r.call(d, http.MethodGet, pathService+"/x", "", ""); g.problem == nil || g.problem.Run != "not-run" || r.ready(d) == nil {
					t.Errorf("a daemon that knows no version serves: %s", g)
				}
				r.SetPlatform("dc2", testbed.Open)
				r.SetPeers("dc1", "dc2", testbed.Open)
			}
			r.inForce(n, d)
			r.probe(d)
		})
	}
}

// Symptom: after the log's retention has passed, a new daemon finds no version.
// Sequence: the version in force is appended again while the log is well, or
// after it was down, lost the reply or a daemon died; the log then drops all
// older records; every daemon is replaced at once.
// Cause: a version that stands on the log once.
func TestReappend(t *testing.T) {
	t.Parallel()
	soon := func(l *testbed.Layout) {
		before := l.Settings
		l.Settings = func(n int, s *settings.Settings) { before(n, s); s.Bundle.CheckpointEvery = time.Second }
	}
	for name, fault := range map[string]func(*rig){
		"re-append/daemon-killed":       func(r *rig) { r.Daemons[0].Kill() },
		"re-append/daemon-frozen":       func(r *rig) { r.must(r.Daemons[0].Freeze(r.ctx)) },
		"re-append/log-down":            func(r *rig) { r.setLog(logDown, 3) },
		"re-append/log-reply-lost":      func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), LoseReply: true}, 2) },
		"re-append/log-record-repeated": func(r *rig) { r.setLog(logsvc.Faults{Stream: bundleStream(), Duplicate: true}, 2) },
		"re-append/platform-cut":        func(r *rig) { r.SetPlatform("dc1", testbed.Cut) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, soon)
			n := r.roll(generous)
			fault(r)
			r.eventually("the version is appended again", func() error { return r.checkpointed() })
			for _, d := range r.Daemons {
				d.Kill()
			}
			r.setLog(logsvc.Faults{}, 0)
			r.SetPlatform("dc1", testbed.Open)
			r.must(r.Log.Post(r.ctx, "/trim", logsvc.TrimRequest{Stream: bundleStream(), Keep: 1}))
			r.must(r.StartDaemons(r.ctx))
			r.agree(n)
			r.probe(r.Daemons[0])
		})
	}
}

// checkpointed returns nil once the newest record is a checkpoint that speaks
// for all records before it; a copy, or one that lost a race to another, does not.
func (r *rig) checkpointed() error {
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 1000, 0)
	if err != nil || len(log.Records) == 0 {
		return errors.Errorf("the log: %v", err)
	}
	last := log.Records[len(log.Records)-1]
	if through, ok := bundle.CheckpointThrough(last.Data); !ok || through < last.Offset {
		return errors.Errorf("the record at %d speaks through %d", last.Offset, through)
	}
	return nil
}

func (o *operators) authors() map[string]ed25519.PublicKey {
	return map[string]ed25519.PublicKey{o.author.ID: o.author.Public()}
}
