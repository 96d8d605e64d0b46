package clients

import (
	"crypto/tls"
	"io"
	"net/http"
	"testing"
)

// Guards against a daemon with its own interface that counts what clients send only where there is no TLS: it runs out
// of memory under heads of very many fields, or serves nobody else while refused clients come back.
func TestOwnTLS(t *testing.T) {
	to := target{"service", callers, http.MethodPost, "/services/status/x"}
	for _, c := range choose("body stops short", "chunked body stops short", "chunked body far over the limit", "short fields without body",
		"short fields stop short", "legal short fields stop short", "slow head", "silent") {
		c.conns, c.send, c.unread = moreConns, overTLS(c.send), true
		t.Run(c.name, func(t *testing.T) { c.test(t, startOwnTLS, to) })
	}
}

// overTLS makes clients of HTTP/1.1 send over TLS. They read what the daemon sends until it closes the connection.
func overTLS(send func(s *sender)) func(s *sender) {
	return func(s *sender) {
		conn := tls.Client(s.conn, &tls.Config{InsecureSkipVerify: true})
		if s.err = conn.HandshakeContext(s.ctx); s.err != nil {
			return
		}
		s.conn = conn
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}()
		send(s)
		<-closed
	}
}
