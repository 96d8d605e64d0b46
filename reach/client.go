package reach

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// maxAsked bounds the daemons that are asked to carry one connection, and askDelay is the
	// time without an answer after which the next one is asked too. It is several times what a
	// daemon takes that reaches the upstream.
	maxAsked = 4
	askDelay = 30 * time.Millisecond
	// openTimeout bounds one daemon's answer. It may wait for a timeout of its own connection
	// to the upstream.
	openTimeout = 250 * time.Millisecond
)

// errNoCarrier means that no daemon carried the connection, and none knows whether the upstream
// is down.
var errNoCarrier = errors.New("no daemon carries the connection")

// UnreachableError means that no daemon that was asked can connect to the upstream.
type UnreachableError struct {
	Failure Failure
	// Conclusive is set if one of them reaches other upstreams, so that this one is probably
	// down.
	Conclusive bool
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no other daemon connects either: %s", e.Failure)
}

// Directory knows daemons that may carry connections.
type Directory interface {
	// Candidates returns some daemons of a scope, in no order.
	Candidates(ctx context.Context, z Scope) []Candidate
}

// ClientOptions configure a Client; all fields are required.
type ClientOptions struct {
	Directory Directory
	Carriers  *Carriers
	// Dial connects to another daemon.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Metrics Metrics
	Logger  log.Interface
	Now     func() time.Time
}

// Client opens connections to upstreams through other daemons. It is safe for concurrent use.
type Client struct {
	o ClientOptions
	// lookups are held while the candidates of a scope are looked up, so that the requests of a
	// busy daemon cause one call.
	lookups [scopes]sync.Mutex
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client { return &Client{o: o} }

// answer is the result of asking a daemon. conn is nil unless the connection was opened.
type answer struct {
	daemon   string
	conn     net.Conn
	response openResponse
	err      error
}

// Open opens a connection to an upstream through another daemon: one of this data centre if
// there is any that reaches the upstream. The error is an *UnreachableError if daemons that were
// asked cannot connect to the upstream.
func (c *Client) Open(ctx context.Context, upstream string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxAsked)
	var asked []string
	askNext := func() {
		if daemon, ok := c.pick(ctx, upstream, asked); ok && len(asked) < maxAsked {
			asked = append(asked, daemon)
			go func() { answers <- c.ask(ctx, daemon, upstream) }()
		}
	}
	askNext()
	failed := errNoCarrier
	delay := time.NewTicker(askDelay)
	defer delay.Stop()
	for received := 0; received < len(asked); {
		select {
		case a := <-answers:
			received++
			if ctx.Err() != nil {
				go closeRest(answers, len(asked)-received)
				a.close()
				return nil, errors.WithStack(ctx.Err())
			}
			c.record(a, upstream)
			if a.conn != nil {
				go closeRest(answers, len(asked)-received)
				return a.conn, nil
			}
			failed = combineFailure(failed, a)
			askNext()
		case <-delay.C:
			askNext()
		}
	}
	return nil, failed
}

// closeRest closes the connections in the answers that are left.
func closeRest(answers <-chan answer, n int) {
	for range n {
		a := <-answers
		a.close()
	}
}

// close closes the connection, if there is one.
func (a answer) close() {
	if a.conn != nil {
		a.conn.Close()
	}
}

// combineFailure returns the error of a call after one more answer without a connection.
func combineFailure(err error, a answer) error {
	if a.err != nil || a.response.Result != unreachable {
		return err
	}
	var known *UnreachableError
	if errors.As(err, &known) && known.Conclusive {
		return err
	}
	return &UnreachableError{Failure: a.response.Failure, Conclusive: !a.response.CutOff}
}

// record remembers what an answer says about the daemon that gave it.
func (c *Client) record(a answer, upstream string) {
	now := c.o.Now()
	if a.err != nil {
		c.o.Metrics.DetourOpened("unanswered")
		c.o.Logger.WithFields(log.Fields{"daemon": a.daemon, "upstream": upstream}).WithError(a.err).Debug("carrier unanswered")
		c.o.Carriers.Avoid(now, a.daemon)
		return
	}
	c.o.Metrics.DetourOpened(a.response.Result.String())
	switch a.response.Result {
	case opened:
		c.o.Carriers.RecordResult(now, a.daemon, upstream, true)
	case busy:
		c.o.Carriers.Avoid(now, a.daemon)
	default:
		c.o.Carriers.RecordResult(now, a.daemon, upstream, false)
	}
}

// pick returns a daemon to ask, of the other data centres if there is none in this one.
func (c *Client) pick(ctx context.Context, upstream string, asked []string) (string, bool) {
	for z := range scopes {
		c.lookUp(ctx, z, upstream)
		if daemon, ok := c.o.Carriers.Pick(c.o.Now(), z, upstream, asked); ok {
			return daemon, true
		}
	}
	return c.o.Carriers.PickLast(c.o.Now(), upstream, asked)
}

// lookUp refreshes the candidates of a scope if they are stale.
func (c *Client) lookUp(ctx context.Context, z Scope, upstream string) {
	c.lookups[z].Lock()
	defer c.lookups[z].Unlock()
	if c.o.Carriers.Stale(c.o.Now(), z, upstream) {
		c.o.Carriers.Set(c.o.Now(), z, c.o.Directory.Candidates(ctx, z))
	}
}

// ask asks one daemon to open a connection.
func (c *Client) ask(ctx context.Context, daemon, upstream string) answer {
	out := answer{daemon: daemon}
	raw, err := c.o.Dial(ctx, daemon)
	if err != nil {
		out.err = err
		return out
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	r := wire.NewReader(raw, wire.MaxFrame)
	if out.response, out.err = exchange(raw, r, openRequest{Upstream: upstream}); out.err == nil && out.response.Result == opened && stop() {
		out.conn = newCarriedConn(raw, r)
		return out
	}
	if out.err == nil {
		out.err = ctx.Err()
	}
	stop()
	raw.Close()
	return out
}

// exchange sends a request to a daemon and reads its response.
func exchange(raw net.Conn, r *wire.Reader, m openRequest) (response openResponse, err error) {
	if err := raw.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return response, errors.WithStack(err)
	}
	if err := writeFrame(raw, wire.TypeTunnel, &m); err != nil {
		return response, err
	}
	env, _, err := r.Read()
	if err != nil {
		return response, errors.Wrap(err, "read response")
	}
	if err := wire.Decode(env.Body, &response); err != nil {
		return response, err
	}
	return response, errors.WithStack(raw.SetDeadline(time.Time{}))
}
