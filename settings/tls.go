package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Enabled reports whether the listener uses TLS.
func (t ServerTLS) Enabled() bool { return t.CertFile != "" }

// Config loads the certificate files and returns the configuration of the listener, which is nil
// if TLS is off.
func (t ServerTLS) Config() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}
	if t.ClientCAFile == "" {
		return cfg, nil
	}
	if cfg.ClientCAs, err = loadCertPool(t.ClientCAFile); err != nil {
		return nil, err
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// Enabled reports whether daemons use TLS between each other.
func (t PeerTLS) Enabled() bool { return t.CertFile != "" }

// Configs loads the certificate files and returns the server and client configurations of mutual
// TLS, which are nil if TLS is off. The client verifies that the server's certificate is signed
// by one of the authorities and matches the host name that it dials.
func (t PeerTLS) Configs() (server, client *tls.Config, err error) {
	if !t.Enabled() {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate")
	}
	pool, err := loadCertPool(t.CAFile)
	if err != nil {
		return nil, nil, err
	}
	certs := []tls.Certificate{cert}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: certs,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certs, RootCAs: pool}
	return server, client, nil
}

// loadCertPool reads the certificates of the authorities in a PEM file.
func loadCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("load certificate authorities: no certificate in %s", file)
	}
	return pool, nil
}
