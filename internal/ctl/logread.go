package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/bundle/watch"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// maxReadRecords is the maximum number of records that one read returns.
	maxReadRecords = 8
	// pollWait is how long a read at the end of the log waits for another record.
	pollWait = time.Second
	// retryDelay is the delay between a failed read and its repetition.
	retryDelay = 200 * time.Millisecond
)

// logFlags are the flags that specify the log and the trusted keys.
type logFlags struct {
	trustFlags
	Log    string `required:"" help:"URL of the log service." placeholder:"URL" env:"CORIANDERCTL_LOG"`
	Stream string `help:"Stream of the log that contains the bundle records." default:"${stream}"`
}

// logReader reads the log and offers the records to its chain, which determines the
// version in force.
type logReader struct {
	log    infra.Log
	stream string
	trust  bundle.Trust
	chain  *bundle.Chain
	epoch  *uint64 // epoch of the first read; nil before it
}

// open returns a logReader that has read nothing.
func (f logFlags) open(hc *http.Client) (*logReader, error) {
	trust, err := f.load()
	if err != nil {
		return nil, err
	}
	return &logReader{
		log:    infra.NewLog(f.Log, hc),
		stream: f.Stream,
		trust:  trust,
		chain:  bundle.NewChain(trust),
	}, nil
}

// openInForce returns a logReader that has read the whole log, and the version in force,
// or nil before the first.
func (f logFlags) openInForce(env *runEnv) (*logReader, *bundle.Version, error) {
	r, err := f.open(env.HTTP)
	if err != nil {
		return nil, nil, err
	}
	v, err := r.readInForce(env.ctx)
	return r, v, err
}

// recordHandler is called for each record read, with the chain's verdict and its reason.
// It returns true to stop reading.
type recordHandler func(record []byte, verdict bundle.Verdict, err error) bool

// readLog reads the log until handle returns true, or up to its end if handle is nil.
// Failed reads are repeated until ctx ends.
func (r *logReader) readLog(ctx context.Context, handle recordHandler) error {
	for {
		wait := pollWait
		if handle == nil {
			wait = 0
		}
		reply, err := r.log.Read(ctx, r.stream, r.chain.Next(), maxReadRecords, wait)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "read the log")
		case errors.Is(err, infra.ErrTrimmed):
			r.chain.Trimmed(reply.First)
			continue
		case err != nil:
			if err := waitToRetry(ctx, err); err != nil {
				return err
			}
			continue
		}
		if r.epoch == nil {
			r.epoch = &reply.Epoch
		}
		if reply.Epoch != *r.epoch {
			return errors.New("the log was restored from a copy while it was read; try again")
		}
		r.chain.SetStartEnd(reply.Next)
		for _, rec := range reply.Records {
			if rec.Offset != r.chain.Next() {
				break
			}
			verdict, err := r.chain.OfferLog(rec.Offset, rec.Data)
			if handle != nil && handle(rec.Data, verdict, err) {
				return nil
			}
		}
		if handle == nil && r.chain.Next() >= reply.Next {
			return nil
		}
	}
}

// waitToRetry waits for retryDelay. If ctx ends before, it returns an error that wraps
// cause.
func waitToRetry(ctx context.Context, cause error) error {
	if !clock.Sleep(ctx, retryDelay) {
		return errors.Wrap(cause, "the log cannot be read")
	}
	return nil
}

// readInForce reads the log to its end and returns the version in force, or nil if none
// was ever published. It returns an error if the log does not show the version in force,
// because records were trimmed or signed with keys that are not trusted.
func (r *logReader) readInForce(ctx context.Context) (*bundle.Version, error) {
	if err := r.readLog(ctx, nil); err != nil {
		return nil, err
	}
	if err := r.chain.NoBaseCause(); err != nil {
		return nil, unknownInForceError(err)
	}
	return r.chain.InForce(), nil
}

// unknownInForceError returns an error with instructions for an operator whose log does
// not show the version in force. cause is the chain's reason.
func unknownInForceError(cause error) error {
	const problem = "the log does not show which version is in force, and holds no usable checkpoint"
	if errors.Is(cause, bundle.ErrUntrusted) {
		return errors.Errorf("%s: %v; put a key that was removed back into the trust file, "+
			"or wait until a running daemon that has the key appends a checkpoint without the records signed with it", problem, cause)
	}
	return errors.Errorf("%s: %v; a running daemon appends a checkpoint within its checkpoint period", problem, cause)
}

// defaultStream is the default of the flag --stream. kong inserts it for ${stream}.
const defaultStream = watch.DefaultStream
