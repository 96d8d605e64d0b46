package failure

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

// sendHalfOrder opens a connection to a daemon and sends a non-idempotent request
// with only a part of its body.
func (r *harness) sendHalfOrder(d *testbed.Daemon, key string) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", d.CallersAddress)
	r.must(err)
	r.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: 100\r\n\r\nhalf",
		pathOrders, testbed.TeamKey, key)
	r.must(err)
	return conn
}

// Guards against work that begins before the request body is complete: half an order
// could be executed, or an incomplete order could block its idempotency key. The
// body stalls, the connection is cut, or the daemon is killed or frozen before it has
// read the body; then the complete order is sent through another daemon.
func TestAccept(t *testing.T) {
	t.Parallel()
	r := startFleet(t, func(l *testbed.Layout) {
		l.Settings = func(_ int, s *settings.Settings) { s.Callers.BodyTimeout = time.Second }
	})
	for name, fault := range map[string]func(r *harness, key string){
		"accept/connection-stalled": func(r *harness, key string) {
			resp, err := http.ReadResponse(bufio.NewReader(r.sendHalfOrder(r.Daemons[0], key)), nil)
			r.must(err)
			if resp.StatusCode != errkind.Answer(errkind.New(errkind.BadRequest, "")).Status {
				r.t.Errorf("incomplete order: status %d", resp.StatusCode)
			}
		},
		"accept/connection-cut": func(r *harness, key string) {
			r.must(r.sendHalfOrder(r.Daemons[0], key).(*net.TCPConn).SetLinger(0))
		},
		"accept/caller-gone": func(r *harness, key string) { r.sendHalfOrder(r.Daemons[0], key).Close() },
		"accept/daemon-killed": func(r *harness, key string) {
			r.sendHalfOrder(r.Daemons[0], key)
			r.restartDaemon(0)
		},
		"accept/daemon-frozen": func(r *harness, key string) {
			r.sendHalfOrder(r.Daemons[0], key)
			r.must(r.Daemons[0].Freeze(r.ctx))
			r.must(r.Daemons[0].Thaw())
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.forSubtest(t)
			key := name[len("accept/"):]
			fault(r, key)
			if n := r.executions(withKey(key)); n != 0 {
				t.Errorf("incomplete order executed %d times", n)
			}
			r.resubmitUntilResult(key)
		})
	}
}
