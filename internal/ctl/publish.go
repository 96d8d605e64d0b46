package ctl

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
)

// draftCmd creates a draft: a record signed only by its author.
type draftCmd struct {
	logFlags
	File          string `arg:"" help:"Bundle file with the complete new content."`
	Key           string `required:"" help:"The author's private key." placeholder:"FILE"`
	Out           string `required:"" short:"o" help:"File for the draft; must not exist." placeholder:"FILE"`
	Snapshot      bool   `help:"Write the complete content into the record instead of the changes."`
	SnapshotEvery int    `help:"Write the complete content if there are at least this many records of changes since the last one with the complete content." default:"500"`
}

// Run writes a draft with the version in force as its parent, and prints the changes.
func (c *draftCmd) Run(env *runEnv) error {
	content, err := readBundle(c.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	r, err := c.open(env.HTTP)
	if err != nil {
		return err
	}
	if err := r.trust.CheckAuthor(key); err != nil {
		return errors.Wrap(err, "refused, nothing was drafted")
	}
	parent, err := r.readInForce(env.ctx)
	if err != nil {
		return err
	}
	body, ops, err := c.newBody(r.chain, parent, content)
	if err != nil {
		return err
	}
	body.CreatedAtMS = env.Clock().UnixMilli()
	draft, err := bundle.NewDraft(body, key)
	if err != nil {
		return err
	}
	if err := writeNew(c.Out, draft, publicMode); err != nil {
		return err
	}
	printDelta(env, bundleOf(parent), ops)
	env.printf("draft of version %d (%s, %d bytes) by %s in %s; a reviewer signs it next\n",
		body.Number, body.Kind, len(draft), key.ID, c.Out)
	return nil
}

// newBody returns the unsigned body of a record that changes parent, the version in force
// or nil, into content. It also returns the changes.
func (c *draftCmd) newBody(chain *bundle.Chain, parent *bundle.Version, content *bundle.Bundle) (bundle.Body, bundle.Delta, error) {
	ops := bundle.Diff(bundleOf(parent), content)
	if len(ops.Ops) == 0 && !c.Snapshot {
		return bundle.Body{}, ops, errors.New("nothing to draft: the file has the content that is in force")
	}
	b := bundle.Body{Number: 1, Kind: bundle.KindDelta}
	if parent != nil {
		b.Number, b.ParentNumber, b.ParentDigest = parent.Number+1, parent.Number, parent.Digest
	}
	var err error
	if c.Snapshot || parent == nil || chain.View().Deltas() >= c.SnapshotEvery {
		b.Kind = bundle.KindSnapshot
		b.Payload, err = bundle.EncodeBundle(content)
	} else {
		b.Payload, err = bundle.EncodeDelta(ops)
	}
	return b, ops, err
}

// bundleOf returns the bundle of a version, or an empty one for nil.
func bundleOf(v *bundle.Version) *bundle.Bundle {
	if v == nil {
		return &bundle.Bundle{}
	}
	return v.Bundle
}

// signCmd adds the reviewer's signature to a draft.
type signCmd struct {
	logFlags
	Draft string `arg:"" help:"File with the draft."`
	Key   string `required:"" help:"The reviewer's private key; must differ from the author's." placeholder:"FILE"`
	Out   string `required:"" short:"o" help:"File for the signed record; must not exist." placeholder:"FILE"`
}

// Run writes the signed record and prints what it changes.
func (c *signCmd) Run(env *runEnv) error {
	draft, err := readRecord(c.Draft)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	r, parent, err := c.openInForce(env)
	if err != nil {
		return err
	}
	content, err := contentOnParent(draft, parent)
	if err != nil {
		return err
	}
	signed, err := bundle.Review(draft.Raw(), r.trust.Authors, key)
	if err != nil {
		return err
	}
	if err := r.trust.CheckReviewer(key); err != nil {
		return errors.Wrap(err, "refused, nothing was signed")
	}
	if err := writeNew(c.Out, signed, publicMode); err != nil {
		return err
	}
	printDelta(env, bundleOf(parent), bundle.Diff(bundleOf(parent), content))
	env.printf("version %d by %s, signed by %s, in %s\n", draft.Number, draft.Author, key.ID, c.Out)
	return nil
}

// contentOnParent returns the bundle that results from applying a record to parent, the
// version in force or nil. It returns an error if the record was drafted on another
// version.
func contentOnParent(r *bundle.Record, parent *bundle.Version) (*bundle.Bundle, error) {
	var number uint64
	var digest bundle.Digest
	if parent != nil {
		number, digest = parent.Number, parent.Digest
	}
	if r.ParentNumber != number || r.ParentDigest != digest {
		return nil, errors.Errorf("the record is based on version %d, digest %.12s, but version %d, digest %.12s, is in force: draft it again",
			r.ParentNumber, bundle.FormatDigest(r.ParentDigest), number, bundle.FormatDigest(digest))
	}
	return r.Content(bundleOf(parent))
}

// publishCmd appends a signed record to the log.
type publishCmd struct {
	logFlags
	File string `arg:"" help:"File with the signed record."`
}

// Run checks the record, appends it to the log and waits until it is adopted or rejected.
// A record that is in force already is not appended again.
func (c *publishCmd) Run(env *runEnv) error {
	record, err := readRecord(c.File)
	if err != nil {
		return err
	}
	r, err := c.open(env.HTTP)
	if err != nil {
		return err
	}
	if err := record.Verify(r.trust); err != nil {
		return errors.Wrap(err, "refused, nothing was appended")
	}
	parent, err := r.readInForce(env.ctx)
	if err != nil {
		return errors.Wrap(err, "nothing was appended")
	}
	if parent != nil && parent.Digest == record.Digest() {
		env.printf("version %d is in force already, digest %s\n", record.Number, bundle.FormatDigest(record.Digest()))
		return nil
	}
	if _, err := contentOnParent(record, parent); err != nil {
		return errors.Wrap(err, "refused, nothing was appended")
	}
	return r.publish(env, record)
}

// publish appends the record once. If the response is lost, it reads the log to find out
// whether the record was added. It does not append again, because another operator's
// record may have been appended in between.
func (r *logReader) publish(env *runEnv, record *bundle.Record) error {
	_, err := r.log.Append(env.ctx, r.stream, record.Raw())
	if infra.NotApplied(err) {
		return errors.Wrap(err, "nothing was appended")
	}
	if err != nil {
		env.printf("the append's reply was lost; reading the log to see what became of it\n")
	}
	verdict, reason, err := r.awaitVerdict(env.ctx, record.Raw())
	if err != nil {
		return errors.Errorf("unknown outcome: the record was not found on the log up to offset %d (%v); "+
			"run the same command again, which appends nothing if the record is in force", r.chain.Next(), err)
	}
	if verdict == bundle.Adopted || verdict == bundle.Duplicate {
		env.printf("won: version %d is in force, digest %s\n", record.Number, bundle.FormatDigest(record.Digest()))
		return nil
	}
	return r.refusedError(record, verdict, reason)
}

// awaitVerdict reads the log until it contains the record raw, and returns the chain's
// verdict on the record and the reason for the verdict.
func (r *logReader) awaitVerdict(ctx context.Context, raw []byte) (v bundle.Verdict, reason, err error) {
	err = r.readLog(ctx, func(record []byte, verdict bundle.Verdict, why error) bool {
		if !bytes.Equal(record, raw) {
			return false
		}
		v, reason = verdict, why
		return true
	})
	return v, reason, err
}

// refusedError returns the error for a record that was not adopted. It names the record
// that was adopted for the same number, if any.
func (r *logReader) refusedError(record *bundle.Record, verdict bundle.Verdict, reason error) error {
	winner, ok := r.chain.View().Record(record.Number)
	if !ok {
		return errors.Errorf("refused (%s): %v", verdict, reason)
	}
	return errors.Errorf("lost (%s) to number %d, digest %s, by author %s: draft it again on that version",
		verdict, winner.Number, bundle.FormatDigest(winner.Digest()), winner.Author)
}
