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

// half opens a connection and sends half of an order.
func (r *rig) half(d *testbed.Daemon, key string) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", d.CallersAddress)
	r.must(err)
	r.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: 100\r\n\r\nhalf",
		pathOrders, testbed.TeamKey, key)
	r.must(err)
	return conn
}

// Symptom: half an order runs, or an order that never came whole blocks its key.
// Sequence: an order stops half way, is cut, or its daemon dies or stands still
// before it has read it; the whole order comes, through another daemon or once
// the same one runs on.
// Cause: work begun before the whole body is there.
func TestAccept(t *testing.T) {
	t.Parallel()
	r := start(t, func(l *testbed.Layout) {
		l.Settings = func(_ int, s *settings.Settings) { s.Callers.BodyTimeout = time.Second }
	})
	for name, fault := range map[string]func(r *rig, key string){
		"accept/connection-stalled": func(r *rig, key string) {
			resp, err := http.ReadResponse(bufio.NewReader(r.half(r.Daemons[0], key)), nil)
			r.must(err)
			if resp.StatusCode != errkind.Answer(errkind.New(errkind.BadRequest, "")).Status {
				r.t.Errorf("half an order: status %d", resp.StatusCode)
			}
		},
		"accept/connection-cut": func(r *rig, key string) {
			r.must(r.half(r.Daemons[0], key).(*net.TCPConn).SetLinger(0))
		},
		"accept/caller-gone": func(r *rig, key string) { r.half(r.Daemons[0], key).Close() },
		"accept/daemon-killed": func(r *rig, key string) {
			r.half(r.Daemons[0], key)
			r.restart(0)
		},
		"accept/daemon-frozen": func(r *rig, key string) {
			r.half(r.Daemons[0], key)
			r.must(r.Daemons[0].Freeze(r.ctx))
			r.must(r.Daemons[0].Thaw())
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.under(t)
			key := name[len("accept/"):]
			fault(r, key)
			if n := r.runs(withKey(key)); n != 0 {
				t.Errorf("half an order ran %d times", n)
			}
			r.settled(key)
		})
	}
}
