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

// operators are an author and a reviewer whose keys the daemons trust in addition to the
// Publisher's.
type operators struct{ author, reviewer bundle.Key }

// newOperators returns operators with new keys.
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

// trustKeys adds the operators' public keys to the daemons' settings.
func (o *operators) trustKeys(l *testbed.Layout) {
	before := l.Settings
	l.Settings = func(n int, s *settings.Settings) {
		before(n, s)
		s.Bundle.Authors[o.author.ID] = bundle.FormatPublicKey(o.author.Public())
		s.Bundle.Reviewers[o.reviewer.ID] = bundle.FormatPublicKey(o.reviewer.Public())
	}
}

// draftNext returns a draft, signed by the author only, of the version after the
// Publisher's last one. It sets the team's weight.
func (o *operators) draftNext(r *harness, weight int) []byte {
	r.t.Helper()
	return o.draftOn(r, nil, weight)
}

// draftOn is draftNext with another parent; nil means the Publisher's last version.
func (o *operators) draftOn(r *harness, parent *bundle.Record, weight int) []byte {
	r.t.Helper()
	b := *r.lastBundle
	b.Teams = map[string]bundle.Team{testbed.Team: {KeyDigests: r.lastBundle.Teams[testbed.Team].KeyDigests, Weight: weight, Class: bundle.Draft}}
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

// signNext returns a reviewed record of the version after the Publisher's last one.
func (o *operators) signNext(r *harness, weight int) []byte {
	r.t.Helper()
	return o.signOn(r, nil, weight)
}

// signOn is signNext with another parent; nil means the Publisher's last version.
func (o *operators) signOn(r *harness, parent *bundle.Record, weight int) []byte {
	r.t.Helper()
	raw, err := bundle.Review(o.draftOn(r, parent, weight), o.authorKeys(), o.reviewer)
	r.must(err)
	return raw
}

// logClient returns a client that connects to the log directly, not through a link.
func (r *harness) logClient() *infra.LogClient {
	return infra.NewLog("http://"+r.Log.Listen, client)
}

// bundleStream returns the name of the log stream of the bundle's versions.
func bundleStream() string { return settings.Defaults().Bundle.Stream }

// Guards against daemons that decide a race between two versions differently, and against
// a race whose loser is not detected. Two records with the same number are appended at the
// same time while the log works, is slow, loses replies or stores records twice.
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
			r := startFleet(t, o.trustKeys)
			r.checkNoRollback()
			f.Stream = bundleStream()
			first, second := o.signNext(r, 2), o.signNext(r, 3)
			r.setLogFaults(f, 0)
			var wg sync.WaitGroup
			for _, raw := range [][]byte{first, second} {
				wg.Go(func() { _, _ = r.logClient().Append(r.ctx, bundleStream(), raw) })
			}
			wg.Wait()
			r.setLogFaults(logsvc.Faults{}, 0)
			r.checkOneWinner(r.awaitSameRecord(2), first, second)
		})
	}
}

// Guards against a lost reply to an append that is treated as a lost record, so that a
// version is published twice or not rolled out. Versions are published one after another
// while the log is down or slow, closes the connection before or after the append takes
// effect, or stores records twice; the operator appends the same record until the log
// accepts it.
func TestPublishFault(t *testing.T) {
	t.Parallel()
	o := newOperators(t)
	r := startFleet(t, o.trustKeys)
	r.checkNoRollback()
	var parent *bundle.Record
	for name, f := range map[string]logsvc.Faults{
		"publish/log-reply-lost":      {LoseReply: true},
		"publish/log-record-repeated": {Duplicate: true},
		"publish/log-slow":            {DelayMS: 300},
		"publish/connection-cut":      {Cut: true},
		"publish/log-down":            {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.forSubtest(t)
			f.Stream = bundleStream()
			raw := o.signOn(r, parent, 2)
			record, err := bundle.DecodeRecord(raw)
			r.must(err)
			parent = record
			r.setLogFaults(f, 2)
			r.eventually("the log accepts the record", func() error {
				_, err := r.logClient().Append(r.ctx, bundleStream(), raw)
				return err
			})
			r.setLogFaults(logsvc.Faults{}, 0)
			if digest := r.awaitSameRecord(record.Number); digest != bundle.FormatDigest(record.Digest()) {
				t.Errorf("version with digest %s is in force", digest)
			}
		})
	}
}

// checkOneWinner reads the log as the operators' tool does and checks that exactly one of
// the records was adopted and that the digest is that of the version in force.
func (r *harness) checkOneWinner(digest string, records ...[]byte) {
	r.t.Helper()
	s, err := settings.Load(r.Daemons[0].SettingsFile)
	r.must(err)
	trust, err := bundle.TrustConfig{Authors: s.Bundle.Authors, Reviewers: s.Bundle.Reviewers}.Trust()
	r.must(err)
	chain := bundle.NewChain(trust)
	log, err := r.logClient().Read(r.ctx, bundleStream(), 0, 100, 0)
	r.must(err)
	verdicts := map[int]bundle.Verdict{}
	for _, record := range log.Records {
		verdict, _ := chain.OfferLog(record.Offset, record.Data)
		for n, raw := range records {
			if _, seen := verdicts[n]; !seen && bytes.Equal(raw, record.Data) {
				verdicts[n] = verdict
			}
		}
	}
	if (verdicts[0] == bundle.Adopted) == (verdicts[1] == bundle.Adopted) {
		r.t.Errorf("want exactly one adopted record: %v", verdicts)
	}
	if v := chain.InForce(); v == nil || bundle.FormatDigest(v.Digest) != digest {
		r.t.Errorf("digest %s in force on the daemons, version %+v by the log", digest, v)
	}
}

// Guards against records that are adopted without valid signatures of an author and another
// reviewer. Records that are damaged, not reviewed, reviewed by their author or signed with
// untrusted keys are appended to the log, followed by a valid one.
func TestForged(t *testing.T) {
	t.Parallel()
	o := newOperators(t)
	r := startFleet(t, o.trustKeys)
	r.checkNoRollback()
	untrusted, err := testbed.NewPublisher("http://" + r.Log.Listen)
	r.must(err)
	untrustedRecord, err := untrusted.Sign(r.lastBundle)
	r.must(err)
	selfReviewed, err := bundle.Review(o.draftNext(r, 5), o.authorKeys(), bundle.Key{ID: o.reviewer.ID, Private: o.author.Private})
	if err != nil { // Review refuses the author's key, so append the draft instead
		selfReviewed = o.draftNext(r, 5)
	}
	damaged := bytes.Clone(o.signNext(r, 6))
	damaged[len(damaged)/2] ^= 1
	t.Run("adopt/forged-record", func(t *testing.T) {
		r := r.forSubtest(t)
		forged := [][]byte{o.draftNext(r, 7), selfReviewed, damaged, untrustedRecord.Raw(), []byte("not a record")}
		for _, raw := range forged {
			_, err := r.logClient().Append(r.ctx, bundleStream(), raw)
			r.must(err)
		}
		valid := o.signNext(r, 8)
		_, err := r.logClient().Append(r.ctx, bundleStream(), valid)
		r.must(err)
		record, err := bundle.DecodeRecord(valid)
		r.must(err)
		if digest := r.awaitSameRecord(2); digest != bundle.FormatDigest(record.Digest()) {
			t.Errorf("version with digest %s is in force", digest)
		}
	})
}

// authorKeys returns the author's public key by its ID.
func (o *operators) authorKeys() map[string]ed25519.PublicKey {
	return map[string]ed25519.PublicKey{o.author.ID: o.author.Public()}
}
