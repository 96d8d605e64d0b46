package ctl

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
)

type draftCmd struct {
	logFlags
	File          string `arg:"" help:"Bundle file with the whole new content."`
	Key           string `required:"" help:"The author's private key." placeholder:"FILE"`
	Out           string `required:"" short:"o" help:"File for the draft; must not exist." placeholder:"FILE"`
	Snapshot      bool   `help:"Put the whole content into the record instead of the change."`
	SnapshotEvery int    `help:"Put the whole content in after this many changes." default:"500"`
}

// Run makes a draft on the version in force.
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
	parent, err := r.inForce(env.ctx)
	if err != nil {
		return err
	}
	body, ops, err := c.body(r.chain, parent, content)
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
	printDelta(env, contentOf(parent), ops)
	env.printf("draft of version %d (%s, %d bytes) by %s in %s; a reviewer signs it next\n",
		body.Number, body.Kind, len(draft), key.ID, c.Out)
	return nil
}

// body returns the unsigned record of content on parent.
func (c *draftCmd) body(chain *bundle.Chain, parent *bundle.Version, content *bundle.Bundle) (bundle.Body, bundle.Delta, error) {
	ops := bundle.Diff(contentOf(parent), content)
	if len(ops.Ops) == 0 && !c.Snapshot {
		return bundle.Body{}, ops, errors.New("the file has the content that is in force")
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

func contentOf(v *bundle.Version) *bundle.Bundle {
	if v == nil {
		return &bundle.Bundle{}
	}
	return v.Bundle
}

type signCmd struct {
	logFlags
	Draft string `arg:"" help:"The draft."`
	Key   string `required:"" help:"The reviewer's private key; must differ from the author's." placeholder:"FILE"`
	Out   string `required:"" short:"o" help:"File for the signed record; must not exist." placeholder:"FILE"`
}

// Run shows what the draft changes and signs it.
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
	content, err := fits(draft, parent)
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
	printDelta(env, contentOf(parent), bundle.Diff(contentOf(parent), content))
	env.printf("version %d by %s, signed by %s, in %s\n", draft.Number, draft.Author, key.ID, c.Out)
	return nil
}

// fits returns the content that a record makes of the version in force, or
// says that the record was drafted on another one.
func fits(r *bundle.Record, parent *bundle.Version) (*bundle.Bundle, error) {
	var number uint64
	var digest bundle.Digest
	if parent != nil {
		number, digest = parent.Number, parent.Digest
	}
	if r.ParentNumber != number || r.ParentDigest != digest {
		return nil, errors.Errorf("made on version %d, digest %.12s; in force is %d, digest %.12s: draft it again",
			r.ParentNumber, bundle.FormatDigest(r.ParentDigest), number, bundle.FormatDigest(digest))
	}
	return r.Content(contentOf(parent))
}

type publishCmd struct {
	logFlags
	File string `arg:"" help:"The signed record."`
}

// Run appends the record and waits for its verdict.
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
	parent, err := r.inForce(env.ctx)
	if err != nil {
		return errors.Wrap(err, "nothing was appended")
	}
	if parent != nil && parent.Digest == record.Digest() {
		env.printf("version %d is in force already, digest %s\n", record.Number, bundle.FormatDigest(record.Digest()))
		return nil
	}
	if _, err := fits(record, parent); err != nil {
		return errors.Wrap(err, "refused, nothing was appended")
	}
	return r.publish(env, record)
}

// publish appends once. When the reply is lost, only the log can say whether
// the record stands there: a second append could land after a rival's.
func (r *reader) publish(env *runEnv, record *bundle.Record) error {
	_, err := r.log.Append(env.ctx, r.stream, record.Raw())
	if infra.NotApplied(err) {
		return errors.Wrap(err, "nothing was appended")
	}
	if err != nil {
		env.printf("the append's reply was lost; reading the log to see what became of it\n")
	}
	verdict, reason, err := r.verdict(env.ctx, record.Raw())
	if err != nil {
		return errors.Errorf("unknown outcome: the record was not seen on the log up to offset %d (%v); "+
			"run the same command again to ask, it does not append a record that won", r.chain.Next(), err)
	}
	if verdict == bundle.Adopted || verdict == bundle.Duplicate {
		env.printf("won: version %d is in force, digest %s\n", record.Number, bundle.FormatDigest(record.Digest()))
		return nil
	}
	return r.lost(record, verdict, reason)
}

// verdict reads on until the record stands on the log.
func (r *reader) verdict(ctx context.Context, raw []byte) (v bundle.Verdict, reason, err error) {
	err = r.follow(ctx, func(record []byte, verdict bundle.Verdict, why error) bool {
		if !bytes.Equal(record, raw) {
			return false
		}
		v, reason = verdict, why
		return true
	})
	return v, reason, err
}

func (r *reader) lost(record *bundle.Record, verdict bundle.Verdict, reason error) error {
	winner, ok := r.chain.View().Record(record.Number)
	if !ok {
		return errors.Errorf("refused (%s): %v", verdict, reason)
	}
	return errors.Errorf("lost (%s) to number %d, digest %s, by author %s: draft it again on that version",
		verdict, winner.Number, bundle.FormatDigest(winner.Digest()), winner.Author)
}
