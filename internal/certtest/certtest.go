// Package certtest creates certificates for tests of TLS listeners. Each is
// self-signed, is valid for 127.0.0.1 for an hour and serves as its own certificate
// authority.
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

// Config returns a configuration for servers and clients that presents a new
// certificate and trusts it. A server with it does not request client certificates.
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

// Write writes a new certificate and its private key to two PEM files in temporary
// directories of the test and returns their paths.
func Write(t testing.TB) (cert, key string) {
	t.Helper()
	der, private := selfSigned(t)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return writePEM(t, "cert.pem", "CERTIFICATE", der), writePEM(t, "key.pem", "PRIVATE KEY", pkcs8)
}

// selfSigned returns a new certificate in DER encoding and its private key.
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

// writePEM writes der as one PEM block to a file with the given name in a new temporary
// directory. blockType is the type in the PEM header, such as CERTIFICATE.
func writePEM(t testing.TB, name, blockType string, der []byte) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
