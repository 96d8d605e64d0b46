// Package certtest makes certificates for the TLS tests of listeners. Each is
// self-signed, for 127.0.0.1, and its own authority.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Config returns a configuration that shows and trusts a new certificate. It
// does not ask the other side for one.
func Config(t testing.TB) *tls.Config {
	t.Helper()
	der, private := selfSigned(t)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}
}

// Write writes a new certificate and its private key and returns the paths of
// the two PEM files.
func Write(t testing.TB) (cert, key string) {
	t.Helper()
	der, private := selfSigned(t)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return write(t, "cert.pem", "CERTIFICATE", der), write(t, "key.pem", "PRIVATE KEY", pkcs8)
}

func selfSigned(t testing.TB) (der []byte, private *ecdsa.PrivateKey) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err = x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	return der, private
}

func write(t testing.TB, name, kind string, der []byte) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
