package clients

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

// http2Conns and http2Streams are the connections of an HTTP/2 crowd and the streams of each, which is as many
// as the library allows.
const (
	http2Conns   = 100
	http2Streams = 250
)

// http2Crowds are the crowds that speak HTTP/2 over TLS. They read by themselves.
var http2Crowds = []crowd{
	{"streams stop short", http2Conns, overHTTP2(func(c *http2Conn) {
		const sent = 4 << 10
		c.eachStream(func(id uint32) {
			c.headers(id, c.block(64<<10, 0))
			_ = c.WriteData(id, false, text[:sent])
		})
	}), true},
	{"bodies stop short", http2Conns, overHTTP2(func(c *http2Conn) {
		// As much as the default windows allow.
		const streams, sent = 4, 16 << 10
		for i := range streams {
			id := uint32(2*i + 1)
			c.headers(id, c.block(len(text), 0))
			for range 64<<10/sent - 1 {
				_ = c.WriteData(id, false, text[:sent])
			}
		}
	}), true},
	{"short fields without body", http2Conns, overHTTP2(func(c *http2Conn) {
		c.eachStream(func(id uint32) { c.headers(id, c.block(10, 2000)) })
	}), true},
	{"short fields stop short", http2Conns, overHTTP2(func(c *http2Conn) {
		block := c.block(10, 2000)
		const half = 2
		_ = c.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:len(block)/half]})
	}), true},
	{"streams reset", http2Conns, overHTTP2(func(c *http2Conn) {
		const rounds = 4
		for i := range rounds * http2Streams {
			id := uint32(2*i + 1)
			c.headers(id, c.block(10, 0))
			_ = c.WriteRSTStream(id, http2.ErrCodeCancel)
		}
	}), true},
	{"settings without end", http2Conns, overHTTP2(func(c *http2Conn) {
		const frames = 20_000
		for range frames {
			_ = c.WriteSettings()
		}
	}), true},
}

// http2Conn writes the frames of a connection to a buffer.
type http2Conn struct {
	*http2.Framer
	s       *sender
	encoder *hpack.Encoder
	encoded bytes.Buffer
}

// overHTTP2 makes a crowd of connections on which write has written what is sent. They read what the daemon sends
// until it closes the connection.
func overHTTP2(write func(c *http2Conn)) func(s *sender) {
	return func(s *sender) {
		conn := tls.Client(s.conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
		if s.err = conn.HandshakeContext(s.ctx); s.err != nil {
			return
		}
		s.conn = conn
		var frames bytes.Buffer
		frames.WriteString(http2.ClientPreface)
		c := &http2Conn{Framer: http2.NewFramer(&frames, nil), s: s}
		c.encoder = hpack.NewEncoder(&c.encoded)
		_ = c.WriteSettings()
		write(c)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}()
		s.write(frames.Bytes())
		<-closed
	}
}

// eachStream calls open for as many streams as may be open.
func (c *http2Conn) eachStream(open func(id uint32)) {
	for i := range http2Streams {
		open(uint32(2*i + 1))
	}
}

// block returns the encoded header of a request, with a number of short fields. It has no field that the
// connection would remember.
func (c *http2Conn) block(length, fields int) []byte {
	c.encoded.Reset()
	field := func(name, value string) {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true})
	}
	field(":method", c.s.target.method)
	field(":scheme", "https")
	field(":authority", "a.example")
	field(":path", c.s.target.path)
	field("authorization", "Bearer "+testbed.TeamKey)
	field("content-length", fmt.Sprint(length))
	for i := range fields {
		field(fmt.Sprintf("f%x", i), "")
	}
	return bytes.Clone(c.encoded.Bytes())
}

// headers writes the header of a stream.
func (c *http2Conn) headers(id uint32, block []byte) {
	const most = 16 << 10 // of a frame
	first := block[:min(len(block), most)]
	_ = c.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndHeaders: len(first) == len(block)})
	for rest := block[len(first):]; len(rest) > 0; {
		n := min(len(rest), most)
		_ = c.WriteContinuation(id, n == len(rest), rest[:n])
		rest = rest[n:]
	}
}

// Guards against a daemon with its own interface that runs out of memory or serves nobody else under HTTP/2 streams
// that clients begin and do not end.
func TestOwnHTTP2(t *testing.T) {
	for _, c := range http2Crowds {
		t.Run(c.name, func(t *testing.T) {
			c.test(t, startOwnTLS, target{"service", callers, http.MethodPost, "/services/status/x"})
		})
	}
}

// startOwnTLS is startOwn with TLS, which callers need for HTTP/2.
func startOwnTLS(t *testing.T) *process {
	t.Helper()
	cert, key := writeCertificate(t)
	return startOwnWith(t, "https://", func(s *settings.Settings) { s.Callers.TLS.CertFile, s.Callers.TLS.KeyFile = cert, key })
}

// writeCertificate writes a certificate and its key, and returns the names of the files.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for file, block := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: cert}, keyFile: {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}
