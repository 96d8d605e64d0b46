package failure

import (
	"bytes"
	"crypto/ed25519"
	"sync"
	"testing"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/testbed"
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
	return o.draftOn(r, nil, weight)
}

// draftOn drafts on a parent, nil for the publisher's last version.
func (o *operators) draftOn(r *rig, parent *bundle.Record, weight int) []byte {
	r.t.Helper()
	b := *r.last
	b.Teams = map[string]bundle.Team{testbed.Team: {KeyDigests: r.last.Teams[testbed.Team].KeyDigests, Weight: weight, Class: bundle.Draft}}
	next, err := r.Publisher.Sign(&b)
	r.must(err)
	body := next.Body
	if parent != nil {
		body.Number, body.ParentNumber, body.ParentDigest = parent.Number+1, parent.Number, parent.Digest()
	}
	draft, err := bundle.NewDraft(bundle.Body{
		Number: body.Number, ParentNumber: body.ParentNumber, ParentDigest: body.ParentDigest,
		Kind: body.Kind, Payload: body.Payload, CreatedAtMS: body.CreatedAtMS,
	}, o.author)
	r.must(err)
	return draft
}

func (o *operators) signed(r *rig, weight int) []byte {
	r.t.Helper()
	return o.signedOn(r, nil, weight)
}

func (o *operators) signedOn(r *rig, parent *bundle.Record, weight int) []byte {
	r.t.Helper()
	raw, err := bundle.Review(o.draftOn(r, parent, weight), o.authors(), o.reviewer)
	r.must(err)
	return raw
}

func (r *rig) logClient() *infra.LogClient {
	return infra.NewLog("http://"+r.Log.Listen, client)
}

func bundleStream() string { return settings.Defaults().Bundle.Stream }

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
			r.judged(r.agree(2), one, two)
		})
	}
}

// Symptom: an operator whose append went through is told that it failed, and
// publishes again on top of what is in force; or a version is not rolled out.
// Sequence: one version after another is published while the log is slow, cuts
// the call before or after its effect, or records it twice; the operator repeats
// the very same record until the log takes it.
// Cause: a lost reply taken for a lost record.
func TestPublishFault(t *testing.T) {
	t.Parallel()
	o := newOperators(t)
	r := start(t, o.trusted)
	r.forward()
	var parent *bundle.Record
	for name, f := range map[string]logsvc.Faults{
		"publish/log-reply-lost":      {LoseReply: true},
		"publish/log-record-repeated": {Duplicate: true},
		"publish/log-slow":            {DelayMS: 300},
		"publish/connection-cut":      {Cut: true},
		"publish/log-down":            {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.under(t)
			f.Stream = bundleStream()
			raw := o.signedOn(r, parent, 2)
			record, err := bundle.DecodeRecord(raw)
			r.must(err)
			parent = record
			r.setLog(f, 2)
			r.eventually("the log takes the record", func() error {
				_, err := r.logClient().Append(r.ctx, bundleStream(), raw)
				return err
			})
			r.setLog(logsvc.Faults{}, 0)
			if digest := r.agree(record.Number); digest != bundle.FormatDigest(record.Digest()) {
				t.Errorf("in force is %s", digest)
			}
		})
	}
}

// judged replays the log as the operators' tool does: one record won, the other
// is told that it lost, and the winner is what the daemons run.
func (r *rig) judged(digest string, records ...[]byte) {
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

func (o *operators) authors() map[string]ed25519.PublicKey {
	return map[string]ed25519.PublicKey{o.author.ID: o.author.Public()}
}
