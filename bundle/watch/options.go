// Package watch keeps the bundle version in force up to date. It reads the log,
// fetches records from peers if the log does not deliver them, appends checkpoints
// to the log, and notifies subscribers of each new version.
//
// The type core makes the decisions and does no I/O; Watcher runs it.
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
	// DefaultStream is the name of the log stream that holds the bundle records.
	DefaultStream = "bundles"
	// DefaultCheckpointInterval suits a log that retains records for an hour or longer.
	DefaultCheckpointInterval = 15 * time.Minute
	// DefaultPollWait is the maximum time that a read of the log waits for a record.
	DefaultPollWait = 5 * time.Second
)

// Fetch requests bundle records from a peer. It must return when ctx is done.
type Fetch func(ctx context.Context, from wire.NodeID, get wire.BundleGet) (wire.BundleRecords, error)

// Options configure a Watcher.
type Options struct {
	// Log and Trust are required.
	Log   infra.Log
	Trust bundle.Trust
	// Stream is the name of the log stream; "" means DefaultStream.
	Stream string
	// Fetch requests records from peers; nil means that there are no peers.
	Fetch Fetch
	// Rand is a seeded source of random numbers. It is required, and must not be
	// used elsewhere while the Watcher runs.
	Rand *rand.Rand
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// CheckpointInterval is the age of the last checkpoint on the log from which on a
	// new one is due. It must be well below the log's retention time; 0 means
	// DefaultCheckpointInterval.
	CheckpointInterval time.Duration
	// PollWait is the maximum time that a read of the log waits for a record; 0
	// means DefaultPollWait.
	PollWait time.Duration
	// Logger and Meter are optional.
	Logger log.Interface
	Meter  metric.Meter
}

// provision checks the required options and sets the defaults of the others.
func (o *Options) provision() error {
	if o.Log == nil || o.Rand == nil {
		return errors.New("watch: Log and Rand are required")
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
	if o.CheckpointInterval == 0 {
		o.CheckpointInterval = DefaultCheckpointInterval
	}
	if o.PollWait == 0 {
		o.PollWait = DefaultPollWait
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return nil
}
