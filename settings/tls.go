package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Enabled says whether the listener uses TLS.
func (t ServerTLS) Enabled() bool { return t.CertFile != "" }

// Config reads the files; nil without error means that TLS is off.
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
	if cfg.ClientCAs, err = loadPool(t.ClientCAFile); err != nil {
		return nil, err
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// Enabled says whether daemons use TLS among each other.
func (t PeerTLS) Enabled() bool { return t.CertFile != "" }

// Configs reads the files and returns the two sides of mutual TLS; nil without
// error means that TLS is off. The client side checks the certificate against
// the authorities and the host name that it dials.
func (t PeerTLS) Configs() (server, client *tls.Config, err error) {
	if !t.Enabled() {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate")
	}
	pool, err := loadPool(t.CAFile)
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

func loadPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "load authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("load authorities: no certificate in %s", file)
	}
	return pool, nil
}
