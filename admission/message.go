package admission

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// maxFrame bounds one frame, in bytes. The largest one holds as many joins as a daemon may have
// requests that wait.
const maxFrame = 64 << 10

// hello is the first message of each side.
type hello struct {
	Instance    string `msgpack:"i"`
	Incarnation uint64 `msgpack:"c"`
}

// message is what the two sides send. The first one of each side has only Hello, the others concern
// one pool. The ID of the envelope numbers the messages of one side.
type message struct {
	Hello *hello `msgpack:"h,omitempty"`
	Pool  string `msgpack:"p,omitempty"`

	// From the daemon. Leaves are the numbers of requests.
	Joins    []join     `msgpack:"j,omitempty"`
	Leaves   []uint64   `msgpack:"l,omitempty"`
	Results  []result   `msgpack:"r,omitempty"`
	Releases []released `msgpack:"e,omitempty"`

	// From the coordinator. Rejected are requests that it does not take. State is sent if HasState is
	// set; it is empty if nobody waits.
	Turns    []turn      `msgpack:"t,omitempty"`
	Rejected []uint64    `msgpack:"x,omitempty"`
	HasState bool        `msgpack:"o,omitempty"`
	State    []RankState `msgpack:"s,omitempty"`
}

// join adds a request to the queue. Times are durations, because the clocks of daemons differ.
type join struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Request      uint64
	Rank, Tokens int
	// WaitedMillis is the time since the caller's first try. LeftMillis is the time after which the
	// request gives up, and InTimeMillis the one after which its answer will be late, negative if it
	// will be in any case; each is 0 if there is no such time.
	WaitedMillis, LeftMillis, InTimeMillis int64
}

// result is the outcome of a turn.
type result struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Request, Turn uint64
	Admitted      bool
	Refused       int
}

// released reports that a request has ended at an engine.
type released struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Engine string
	Tokens int
}

// turn is the wire form of a Turn.
type turn struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Request, Number uint64
	Engine          string
}

// empty reports whether there is nothing to send.
func (m *message) empty() bool {
	return m.Hello == nil && len(m.Joins)+len(m.Leaves)+len(m.Results)+len(m.Releases)+len(m.Turns)+len(m.Rejected) == 0 && !m.HasState
}

// writeTimeout bounds a write to a side that does not read.
const writeTimeout = time.Second

// write sends a message with a number.
func write(c net.Conn, id uint64, m *message) error {
	f, err := wire.Encode(wire.Envelope{Type: wire.TypeAdmission, ID: id}, m, maxFrame)
	if err != nil {
		return err
	}
	defer f.Release()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	_, err = c.Write(f.Bytes())
	return errors.WithStack(err)
}

// outbox collects the messages of one side until its writer sends them, one for each pool.
type outbox struct {
	byPool map[string]*message
	order  []string
	// ready is buffered; it signals the writer that there is something to send.
	ready chan struct{}
}

func newOutbox() outbox { return outbox{byPool: map[string]*message{}, ready: make(chan struct{}, 1)} }

// message returns the message that collects what is sent for a pool, and wakes the writer. The
// caller holds the lock of the outbox's owner.
func (o *outbox) message(pool string) *message {
	m := o.byPool[pool]
	if m == nil {
		m = &message{Pool: pool}
		o.byPool[pool] = m
		o.order = append(o.order, pool)
	}
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return m
}

// take returns the collected messages and empties the outbox. The caller holds the lock.
func (o *outbox) take() []*message {
	out := make([]*message, 0, len(o.order))
	for _, pool := range o.order {
		if m := o.byPool[pool]; !m.empty() {
			out = append(out, m)
		}
	}
	clear(o.byPool)
	o.order = o.order[:0]
	return out
}
