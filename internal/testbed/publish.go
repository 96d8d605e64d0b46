package testbed

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/settings"
)

// publishTimeout is the timeout of one append to the log.
const publishTimeout = 10 * time.Second

// Publisher drafts, signs and publishes versions of a bundle with its own author
// and reviewer keys. Each version is a snapshot whose parent is the version
// published before. It is not safe for concurrent use.
type Publisher struct {
	author   bundle.Key
	reviewer bundle.Key
	log      *infra.LogClient
	stream   string
	parent   *bundle.Record // last published version; nil before the first
}

// NewPublisher returns a Publisher with new keys that appends to the log at logURL.
func NewPublisher(logURL string) (*Publisher, error) {
	author, err := bundle.GenerateKey("author")
	if err != nil {
		return nil, err
	}
	reviewer, err := bundle.GenerateKey("reviewer")
	if err != nil {
		return nil, err
	}
	return &Publisher{
		author:   author,
		reviewer: reviewer,
		log:      infra.NewLog(logURL, &http.Client{Timeout: publishTimeout}),
		stream:   settings.Defaults().Bundle.Stream,
	}, nil
}

// trustedKeys returns the public keys in the format of the settings.
func (p *Publisher) trustedKeys() (authors, reviewers map[string]string) {
	text := func(k bundle.Key) map[string]string {
		return map[string]string{k.ID: bundle.FormatPublicKey(k.Public())}
	}
	return text(p.author), text(p.reviewer)
}

// Sign returns the signed and reviewed record of the next version without
// publishing it.
func (p *Publisher) Sign(b *bundle.Bundle) (*bundle.Record, error) {
	payload, err := bundle.EncodeBundle(b)
	if err != nil {
		return nil, err
	}
	body := bundle.Body{Number: 1, Kind: bundle.KindSnapshot, Payload: payload, CreatedAtMS: time.Now().UnixMilli()}
	if p.parent != nil {
		body.Number, body.ParentNumber, body.ParentDigest = p.parent.Number+1, p.parent.Number, p.parent.Digest()
	}
	draft, err := bundle.NewDraft(body, p.author)
	if err != nil {
		return nil, err
	}
	authors := map[string]ed25519.PublicKey{p.author.ID: p.author.Public()}
	signed, err := bundle.Review(draft, authors, p.reviewer)
	if err != nil {
		return nil, err
	}
	return bundle.DecodeRecord(signed)
}

// Publish appends the next version to the log and returns its number.
func (p *Publisher) Publish(ctx context.Context, b *bundle.Bundle) (uint64, error) {
	record, err := p.Sign(b)
	if err != nil {
		return 0, err
	}
	if _, err := p.log.Append(ctx, p.stream, record.Raw()); err != nil {
		return 0, errors.Wrap(err, "publish")
	}
	p.parent = record
	return record.Number, nil
}
