package reach

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
)

var discardLogger = &log.Logger{Handler: discard.New()}

// noMetrics implements Metrics.
type noMetrics struct{}

func (noMetrics) UpstreamDialed(string)       {}
func (noMetrics) SetUnreachableUpstreams(int) {}
func (noMetrics) DetourOpened(string)         {}
func (noMetrics) ConnectionCarried(string)    {}
func (noMetrics) SetCarriedConnections(int)   {}

// listen accepts connections on loopback until the end of the test.
func listen(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// testCarrier is a daemon that carries connections to the upstream "u".
type testCarrier struct {
	server   *Server
	address  string
	failure  error // of its own connections to the upstream
	draining atomic.Bool
	withheld atomic.Bool
	heads    chan string   // headers of the responses that it carried
	kill     chan struct{} // ends its connections to other daemons
}

func newTestCarrier(t testing.TB, upstreamAddress string, failure error) *testCarrier {
	t.Helper()
	d := &testCarrier{failure: failure, kill: make(chan struct{}), heads: make(chan string, 16)}
	monitor := NewMonitor(MonitorOptions{
		Paths: NewPaths(),
		Connect: func(ctx context.Context, network, address string) (net.Conn, error) {
			if d.failure != nil {
				return nil, d.failure
			}
			var dialer net.Dialer
			return dialer.DialContext(ctx, network, address)
		},
		OnCutOff: func(bool) {}, Metrics: noMetrics{}, Logger: discardLogger, Now: time.Now,
	})
	d.server = NewServer(ServerOptions{
		Monitor: monitor, Address: func(name string) (string, bool) { return upstreamAddress, name == "u" },
		Withheld:    func(string) bool { return d.withheld.Load() },
		ObserveHead: func(_ string, head []byte) { d.heads <- string(head) },
		Draining:    d.draining.Load, Metrics: noMetrics{}, Logger: discardLogger,
	})
	d.address = listen(t, func(c net.Conn) {
		defer c.Close()
		go func() {
			<-d.kill
			c.Close()
		}()
		r := wire.NewReader(c, wire.MaxFrame)
		if env, _, err := r.Read(); err == nil && env.Type == wire.TypeTunnel {
			_ = d.server.Serve(t.Context(), c, r, env.Body)
		}
	})
	return d
}

// fixedDirectory is a Directory of daemons that are all in this data centre.
type fixedDirectory []string

func (d fixedDirectory) Candidates(_ context.Context, z Scope) []Candidate {
	if z == Local {
		return candidatesAt(d)
	}
	return nil
}

func newTestClient(carriers ...string) *Client {
	return NewClient(ClientOptions{
		Directory: fixedDirectory(carriers), Carriers: NewCarriers(rand.New(rand.NewPCG(1, 1))),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
		Metrics: noMetrics{}, Logger: discardLogger, Now: time.Now,
	})
}

// Guards against answers that last until the end of their connection and look complete although
// the upstream, or the daemon that carried them, broke off.
func TestEndOfCarriedConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(up *net.TCPConn, d *testCarrier)
		want error
	}{
		{"the upstream ends it", func(up *net.TCPConn, _ *testCarrier) { up.Close() }, nil},
		{"the upstream resets it", func(up *net.TCPConn, _ *testCarrier) {
			_ = up.SetLinger(0)
			up.Close()
		}, syscall.ECONNRESET},
		{"the carrier is killed", func(_ *net.TCPConn, d *testCarrier) { close(d.kill) }, io.ErrUnexpectedEOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			read := make(chan struct{})
			var d *testCarrier
			up := listen(t, func(c net.Conn) {
				_, _ = c.Write([]byte("part"))
				<-read
				tc.end(c.(*net.TCPConn), d)
			})
			d = newTestCarrier(t, up, nil)
			conn, err := newTestClient(d.address).Open(t.Context(), "u")
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			buf := make([]byte, 4)
			if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != "part" {
				t.Fatalf("%q, %v", buf, err)
			}
			close(read)
			rest, err := io.ReadAll(conn)
			if len(rest) > 0 || tc.want == nil && err != nil || tc.want != nil && !errors.Is(err, tc.want) {
				t.Errorf("%q, %v", rest, err)
			}
		})
	}
}

// Guards against half an answer that looks whole, because the carrier's write of the request takes the reset of the upstream's
// connection and its read sees a plain end.
func TestResetWhileARequestIsCarried(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(up *net.TCPConn)
		want error
	}{
		"reset": {func(up *net.TCPConn) { _ = up.SetLinger(0); up.Close() }, syscall.ECONNRESET},
		"ended": {func(up *net.TCPConn) { _ = up.CloseWrite(); _, _ = io.Copy(io.Discard, up) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 60 {
				up := listen(t, func(c net.Conn) {
					_, _ = c.Write([]byte("part"))
					time.Sleep(20 * time.Millisecond) // until the request fills the buffers
					tc.end(c.(*net.TCPConn))
				})
				conn, err := newTestClient(newTestCarrier(t, up, nil).address).Open(t.Context(), "u")
				if err != nil {
					t.Fatal(err)
				}
				written := make(chan struct{})
				go func() {
					defer close(written)
					for chunk := make([]byte, 32<<10); err == nil; { // fails when the connection is closed
						_, err = conn.Write(chunk)
					}
				}()
				got, readErr := io.ReadAll(conn)
				conn.Close()
				<-written
				if string(got) != "part" || tc.want == nil && readErr != nil || tc.want != nil && !errors.Is(readErr, tc.want) {
					t.Errorf("%q, %v", got, readErr)
				}
			}
		})
	}
}

// Guards against upstreams that go on working after the daemon has closed a carried connection.
func TestCloseReachesUpstream(t *testing.T) {
	ended := make(chan error, 1)
	up := listen(t, func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	d := newTestCarrier(t, up, nil)
	conn, err := newTestClient(d.address).Open(t.Context(), "u")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	waittest.Receive(t, "the upstream's connection ends", ended)
}

// Guards against a daemon that gives up because the first daemons that it asks are cut off too, and
// against taking an upstream that is down for a lost path.
func TestOpenAsksOtherDaemons(t *testing.T) {
	up := listen(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	cut1, cut2 := newTestCarrier(t, up, refused), newTestCarrier(t, up, refused)
	gone := listen(t, func(c net.Conn) { c.Close() })
	conn, err := newTestClient(cut1.address, gone, cut2.address, newTestCarrier(t, up, nil).address).Open(t.Context(), "u")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4)
	if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != "ping" {
		t.Errorf("%q, %v", buf, err)
	}
	var down *UnreachableError
	if _, err := newTestClient(cut1.address, cut2.address).Open(t.Context(), "u"); !errors.As(err, &down) || down.Failure != Refused {
		t.Errorf("no daemon reaches it: %v", err)
	}
	if _, err := newTestClient().Open(t.Context(), "u"); !errors.Is(err, errNoCarrier) {
		t.Errorf("no daemon to ask: %v", err)
	}
}

// Guards against a shutdown that cuts requests of other daemons.
func TestServerDrains(t *testing.T) {
	up := listen(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
	d := newTestCarrier(t, up, nil)
	client := newTestClient(d.address)
	conn, err := client.Open(t.Context(), "u")
	if err != nil {
		t.Fatal(err)
	}
	d.draining.Store(true)
	if _, err := client.Open(t.Context(), "u"); err == nil {
		t.Error("a daemon that drains carries a new connection")
	}
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	if err := d.server.Drain(expired); err == nil {
		t.Error("the drain did not wait for an open connection")
	}
	done := make(chan error, 1)
	go func() { done <- d.server.Drain(t.Context()) }()
	conn.Close()
	if err := waittest.Receive(t, "the drain ends", done); err != nil {
		t.Error(err)
	}
}

// BenchmarkExchange compares a request and its answer on a new connection, direct and carried, and
// a piece of a stream on an open one.
func BenchmarkExchange(b *testing.B) {
	echo := func(c net.Conn) { _, _ = io.Copy(c, c) }
	up := listen(b, echo)
	carrier := newTestCarrier(b, up, nil)
	client := newTestClient(carrier.address)
	direct := func() (net.Conn, error) { return net.Dial("tcp", up) }
	carried := func() (net.Conn, error) { return client.Open(b.Context(), "u") }
	piece := make([]byte, 300)
	trip := func(c net.Conn) {
		if _, err := c.Write(piece); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, piece); err != nil {
			b.Fatal(err)
		}
	}
	for name, open := range map[string]func() (net.Conn, error){"direct": direct, "carried": carried} {
		b.Run("connection/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, err := open()
				if err != nil {
					b.Fatal(err)
				}
				trip(c)
				c.Close()
			}
		})
		b.Run("piece/"+name, func(b *testing.B) {
			c, err := open()
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				trip(c)
			}
		})
	}
}

// Guards against a daemon that carries requests to an upstream which has asked this daemon for none, or
// does not learn that the upstream did so on a connection that it carries.
func TestCarrierKeepsToWhatUpstreamsState(t *testing.T) {
	up := listen(t, func(c net.Conn) {
		for _, part := range []string{"HTTP/1.1 503 S\r\nRetry", "-After: 3\r", "\n\r\nbody"} {
			_, _ = c.Write([]byte(part))
			time.Sleep(time.Millisecond) // most often a read of its own
		}
	})
	d := newTestCarrier(t, up, nil)
	conn, err := newTestClient(d.address).Open(t.Context(), "u")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const want = "HTTP/1.1 503 S\r\nRetry-After: 3\r\n\r\n"
	if head := waittest.Receive(t, "the header", d.heads); !strings.HasPrefix(head, want) {
		t.Errorf("header %q", head)
	}
	d.withheld.Store(true)
	if conn, err := newTestClient(d.address).Open(t.Context(), "u"); !errors.Is(err, errNoCarrier) {
		conn.Close()
		t.Errorf("carried all the same: %v", err)
	}
}
