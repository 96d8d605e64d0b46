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
	// readMax bounds the records of one read.
	readMax = 8
	// readWait is how long one read waits at the log's end.
	readWait = time.Second
	// retryPause is the time between a failed read and the next.
	retryPause = 200 * time.Millisecond
)

// logFlags name the log and the keys to judge its records by.
type logFlags struct {
	trustFlags
	Log    string `required:"" help:"URL of the log service." placeholder:"URL" env:"CORIANDERCTL_LOG"`
	Stream string `help:"The log's stream of bundle records." default:"${stream}"`
}

// reader follows the log with a chain of its own.
type reader struct {
	log    infra.Log
	stream string
	trust  bundle.Trust
	chain  *bundle.Chain
}

func (f logFlags) open(hc *http.Client) (*reader, error) {
	trust, err := f.load()
	if err != nil {
		return nil, err
	}
	return &reader{
		log:    infra.NewLog(f.Log, hc),
		stream: f.Stream,
		trust:  trust,
		chain:  bundle.NewChain(trust),
	}, nil
}

// openInForce opens the log and returns the version in force, nil before the first.
func (f logFlags) openInForce(env *runEnv) (*reader, *bundle.Version, error) {
	r, err := f.open(env.HTTP)
	if err != nil {
		return nil, nil, err
	}
	v, err := r.inForce(env.ctx)
	return r, v, err
}

// judged is called with each record and its verdict; it returns true to stop.
type judged func(record []byte, verdict bundle.Verdict, err error) bool

// follow reads on until stop says so, or until the end of the log when stop
// is nil. Failed reads are repeated until ctx ends.
func (r *reader) follow(ctx context.Context, stop judged) error {
	for {
		wait := readWait
		if stop == nil {
			wait = 0
		}
		reply, err := r.log.Read(ctx, r.stream, r.chain.Next(), readMax, wait)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "read the log")
		case errors.Is(err, infra.ErrTrimmed):
			r.chain.Trimmed(reply.First)
			continue
		case err != nil:
			if err := pause(ctx, err); err != nil {
				return err
			}
			continue
		}
		r.chain.Live(reply.Next)
		for _, rec := range reply.Records {
			if rec.Offset != r.chain.Next() {
				break
			}
			verdict, err := r.chain.OfferLog(rec.Offset, rec.Data)
			if stop != nil && stop(rec.Data, verdict, err) {
				return nil
			}
		}
		if stop == nil && r.chain.Next() >= reply.Next {
			return nil
		}
	}
}

func pause(ctx context.Context, cause error) error {
	if !clock.Sleep(ctx, retryPause) {
		return errors.Wrap(cause, "the log cannot be read")
	}
	return nil
}

// inForce reads the log to its end and returns the version in force; nil when
// none was ever published. It refuses when retention dropped what it takes to know.
func (r *reader) inForce(ctx context.Context) (*bundle.Version, error) {
	if err := r.follow(ctx, nil); err != nil {
		return nil, err
	}
	if err := r.chain.Lost(); err != nil {
		return nil, unknownInForce(err)
	}
	return r.chain.InForce(), nil
}

// unknownInForce says what to do when the log does not show the version in force.
func unknownInForce(lost error) error {
	const what = "the log does not show which version is in force, and holds no usable checkpoint"
	if errors.Is(lost, bundle.ErrUntrusted) {
		return errors.Errorf("%s: %v; put a key that was taken out back into the trust file, "+
			"or wait until a running daemon that has it appends a checkpoint without its records", what, lost)
	}
	return errors.Errorf("%s: %v; a running daemon appends one within its checkpoint period", what, lost)
}

// defaultStream is filled into the help of logFlags.
const defaultStream = watch.DefaultStream
