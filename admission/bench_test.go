package admission

import (
	"net"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// discardConn is a connection to a daemon that takes everything.
type discardConn struct {
	net.Conn
	sent int
}

func (c *discardConn) Write(p []byte) (int, error)    { c.sent += len(p); return len(p), nil }
func (*discardConn) SetWriteDeadline(time.Time) error { return nil }
func (*discardConn) Close() error                     { return nil }

// BenchmarkCoordinator measures what one request costs a coordinator to which 985 daemons are
// connected, while 2,000 requests wait: its join, the turn, the result and the release of the room,
// each in a frame of its own, without the system calls of the network.
func BenchmarkCoordinator(b *testing.B) {
	const daemons = 985
	clock := &testClock{}
	s := NewServer(ServerOptions{
		Instance: "coordinator", Incarnation: 1, Known: func(string) bool { return true }, Draining: func() bool { return false },
		Metrics: discardMetrics{}, Logger: testLogger(), Now: clock.now,
	})
	s.ticking = true // ticks run here
	conns := make([]*serverConn, daemons)
	for i := range conns {
		conns[i], _ = s.open(&discardConn{}, &hello{Instance: engineName(i), Incarnation: 1})
		conns[i].out.take()
	}
	received, next, id := 0, uint64(0), uint64(0)
	receive := func(sc *serverConn, m *message) {
		id++
		f, err := wire.Encode(wire.Envelope{Type: wire.TypeAdmission, ID: id}, m, maxFrame)
		if err != nil {
			b.Fatal(err)
		}
		received += len(f.Bytes())
		var env wire.Envelope
		var got message
		if err := wire.Decode(f.Bytes()[4:], &env); err != nil {
			b.Fatal(err)
		}
		if err := wire.Decode(env.Body, &got); err != nil {
			b.Fatal(err)
		}
		f.Release()
		s.handle(sc, env.ID, &got)
	}
	flush := func() (turns []turn, from []*serverConn) {
		for _, sc := range conns {
			if len(sc.out.order) == 0 {
				continue
			}
			for _, m := range sc.out.take() {
				for _, t := range m.Turns {
					turns, from = append(turns, t), append(from, sc)
				}
				if err := write(sc.conn, id, m); err != nil {
					b.Fatal(err)
				}
			}
		}
		return turns, from
	}
	join := func() {
		next++
		receive(conns[next%daemons], &message{Pool: testPool, Joins: []join{{Request: next, Rank: int(next % 3), Tokens: 3200, WaitedMillis: 1, LeftMillis: 4000}}})
	}
	for range 2000 {
		join()
	}
	flush()
	for n := range b.N {
		clock.advance(time.Millisecond)
		join()
		receive(conns[n%daemons], &message{Pool: testPool, Releases: []released{{Engine: engineName(n % 600), Tokens: 3300}}})
		if n%10 == 0 {
			s.tick()
			s.ticking = true
		}
		turns, from := flush()
		for i, t := range turns {
			receive(from[i], &message{Pool: testPool, Results: []result{{Request: t.Request, Turn: t.Number, Admitted: t.Engine != "", Refused: 1}}})
		}
	}
	sent := 0
	for _, sc := range conns {
		sent += sc.conn.(*discardConn).sent
	}
	b.ReportMetric(float64(sent)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(received)/float64(b.N), "received-B/op")
}

// discardMetrics is a Metrics.
type discardMetrics struct{}

func (discardMetrics) AdmissionWaiting(int, int)            {}
func (discardMetrics) AdmissionTurns(string, uint64)        {}
func (discardMetrics) AdmissionReservations(string, uint64) {}
func (discardMetrics) AdmissionDropped(string)              {}
func (discardMetrics) AdmissionCoordinatorLost(string)      {}
