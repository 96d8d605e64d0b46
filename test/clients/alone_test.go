package clients

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against limits that a single client meets although it stays within those of the interface: the largest
// body, with a length and in chunks, behind a head of thousands of short fields, also over TLS.
func TestOneLargeRequestIsServed(t *testing.T) {
	largest := map[string]func(s *sender){
		"length": func(s *sender) {
			s.printf("%s%sContent-Length: %d\r\n\r\n", s.head(), shortFields(15<<10), len(text))
			s.write(text)
		},
		"chunks": func(s *sender) {
			s.printf("%s%sTransfer-Encoding: chunked\r\n\r\n", s.head(), shortFields(15<<10))
			for range len(text) / smallChunkBytes {
				s.write(smallChunk)
			}
			s.printf("0\r\n\r\n")
		},
	}
	for _, edge := range []struct {
		name, path string
		start      func(t *testing.T) *process
	}{
		{"attached", "/slot/x", startAttached},
		{"own", "/services/status/x", startOwn},
		{"own with TLS", "/services/status/x", startOwnTLS},
	} {
		p := edge.start(t)
		for name, send := range largest {
			if err := sendAlone(t, p, target{edge.name, callers, http.MethodPost, edge.path}, send); err != nil {
				t.Errorf("%s, %s: %v", edge.name, name, err)
			}
		}
	}
}

// sendAlone sends one request and returns an error unless it is answered with 200.
func sendAlone(t *testing.T, p *process, to target, send func(s *sender)) error {
	t.Helper()
	conn, err := net.Dial("tcp", p.listeners[to.listener])
	if err != nil {
		return err
	}
	defer conn.Close()
	if p.usesTLS {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	s := &sender{conn: conn, target: to, ctx: t.Context(), sent: new(atomic.Int64)}
	if send(s); s.err != nil {
		return s.err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(resp.Body)
		return errors.Errorf("status %d: %s", resp.StatusCode, reason)
	}
	return nil
}
