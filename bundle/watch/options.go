// Package watch keeps the bundle version in force up to date: it reads the
// log, fetches from peers what the log cannot bring, renews the checkpoint on
// the log, and tells subscribers of each new version.
//
// What decides is the type core, which does no I/O; Watcher runs it.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Defaults of the options.
const (
	// DefaultStream is the log's stream for bundle records.
	DefaultStream = "bundles"
	// DefaultCheckpointEvery suits a log that keeps records for an hour or longer.
	DefaultCheckpointEvery = 15 * time.Minute
	// DefaultPollWait is how long one read of the log waits for a record.
	DefaultPollWait = 5 * time.Second
)

// Fetch asks a peer for records; it ends with ctx.
type Fetch func(ctx context.Context, from wire.NodeID, get wire.BundleGet) (wire.BundleRecords, error)

// Options configure a Watcher.
type Options struct {
	// Log and Trust are needed.
	Log   infra.Log
	Trust bundle.Trust
	// Stream is the log's stream; "" means DefaultStream.
	Stream string
	// Fetch asks peers; nil means that there are none.
	Fetch Fetch
	// Rand is a seeded source, used from one goroutine only; it is needed.
	Rand *rand.Rand
	// Clock gives the time; nil means time.Now.
	Clock func() time.Time
	// CheckpointEvery is the longest time without a checkpoint on the log. It must
	// be well under the log's retention; 0 means DefaultCheckpointEvery.
	CheckpointEvery time.Duration
	// PollWait is how long one read waits for a record; 0 means DefaultPollWait.
	PollWait time.Duration
	// Logger and Meter are optional.
	Logger log.Interface
	Meter  metric.Meter
}

func (o *Options) provision() error {
	if o.Log == nil || o.Rand == nil {
		return errors.New("watch: Log and Rand are needed")
	}
	if len(o.Trust.Authors) == 0 || len(o.Trust.Reviewers) == 0 {
		return errors.New("watch: no trusted author or reviewer key")
	}
	if o.Stream == "" {
		o.Stream = DefaultStream
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.CheckpointEvery == 0 {
		o.CheckpointEvery = DefaultCheckpointEvery
	}
	if o.PollWait == 0 {
		o.PollWait = DefaultPollWait
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return nil
}
