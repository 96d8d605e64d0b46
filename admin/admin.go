// Package admin serves the administration interface: what a daemon has in
// force, in flight and in view, and the order to drain. Its messages are in
// package adminapi. Every request needs the bearer token. What steers the
// system goes through signed bundles; nothing here changes routing.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/settings"
)

// Source tells what the daemon knows. Its methods are called from many
// goroutines at once and do not block.
type Source interface {
	BundleStatus() adminapi.BundleStatus
	Requests() adminapi.Requests
	Upstreams() adminapi.Upstreams
	Members() adminapi.Members
	// StartDrain begins to drain and returns at once; a second call changes nothing.
	StartDrain() adminapi.Draining
}

// Bounds of the listener. Operators' tools are few and their requests small.
const (
	minTokenBytes  = 16
	maxTokenBytes  = 4 << 10
	maxHeaderBytes = 16 << 10
	ioTimeout      = 10 * time.Second
	stopGrace      = 2 * time.Second
)

const bearer = "bearer "

// Options wire a Server; all are required.
type Options struct {
	// Admin has been validated: without TLS it listens on a loopback address.
	Admin  settings.Admin
	Source Source
	Logger log.Interface
}

// Server is the administration listener. It implements supervise.Service.
type Server struct {
	opts   Options
	digest [sha256.Size]byte // of the token, so that comparing leaks no length
	tls    *tls.Config
	mux    *httprouter.Router

	mu   sync.Mutex // guards the fields below
	ln   net.Listener
	addr net.Addr
}

// New reads the token and the certificates. The caller leaves the server out
// when the settings name no address.
func New(opts Options) (*Server, error) {
	if opts.Source == nil || opts.Logger == nil {
		return nil, errors.New("admin: Source and Logger are required")
	}
	if err := opts.Admin.Check(); err != nil {
		return nil, errors.Wrap(err, "admin")
	}
	token, err := readToken(opts.Admin.TokenFile)
	if err != nil {
		return nil, err
	}
	s := &Server{opts: opts, digest: sha256.Sum256([]byte(token))}
	if s.tls, err = opts.Admin.TLS.Config(); err != nil {
		return nil, errors.Wrap(err, "admin")
	}
	s.mux = s.routes()
	return s, nil
}

// readToken reads the token's file; no error repeats its content.
func readToken(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "admin: open the token")
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxTokenBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "admin: read the token")
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenBytes || len(raw) > maxTokenBytes {
		return "", errors.Errorf("admin: the token in %s has to have %d to %d bytes", file, minTokenBytes, maxTokenBytes)
	}
	return token, nil
}

// Name implements supervise.Service.
func (s *Server) Name() string { return "admin" }

func (s *Server) routes() *httprouter.Router {
	r := httprouter.New()
	r.NotFound = s.guard(func(w http.ResponseWriter) { reply(w, http.StatusNotFound, adminapi.Error{Error: "no such path"}) })
	r.MethodNotAllowed = s.guard(func(w http.ResponseWriter) {
		reply(w, http.StatusMethodNotAllowed, adminapi.Error{Error: "the path takes another method"})
	})
	src := s.opts.Source
	get := func(path string, read func() any) {
		r.Handler(http.MethodGet, path, s.guard(func(w http.ResponseWriter) { reply(w, http.StatusOK, read()) }))
	}
	get(adminapi.PathBundle, func() any { return src.BundleStatus() })
	get(adminapi.PathRequests, func() any { return src.Requests() })
	get(adminapi.PathUpstreams, func() any { return src.Upstreams() })
	get(adminapi.PathMembers, func() any { return src.Members() })
	r.Handler(http.MethodPost, adminapi.PathDrain, s.guard(func(w http.ResponseWriter) {
		s.opts.Logger.Info("drain ordered")
		reply(w, http.StatusAccepted, src.StartDrain())
	}))
	return r
}

// guard lets only requests with the token through.
func (s *Server) guard(h func(http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply(w, http.StatusUnauthorized, adminapi.Error{Error: "send Authorization: Bearer and the administration token"})
			return
		}
		h(w)
	})
}

func (s *Server) authorized(r *http.Request) bool {
	values := r.Header.Values("Authorization")
	if len(values) != 1 || len(values[0]) < len(bearer) || !strings.EqualFold(values[0][:len(bearer)], bearer) {
		return false
	}
	digest := sha256.Sum256([]byte(values[0][len(bearer):]))
	return subtle.ConstantTimeCompare(digest[:], s.digest[:]) == 1
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Connection", "close") // bodies are never read
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failure means that the caller is gone
}

// Listen binds the address of the settings, so that an address in use fails
// the daemon at its start. The router calls it before Run; Run calls it else.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	address := s.opts.Admin.Listen
	if s.addr != nil {
		address = s.addr.String() // a restart keeps the port
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "admin: listen")
	}
	s.ln, s.addr = ln, ln.Addr()
	return nil
}

// Addr returns the address that Listen bound, or nil before.
func (s *Server) Addr() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Run serves until ctx ends. It goes on while the daemon drains, so that
// operators can watch.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	s.mu.Lock()
	ln := s.ln
	s.ln = nil
	s.mu.Unlock()
	server := &http.Server{
		Handler: s.mux, TLSConfig: s.tls, MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	done := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { done <- serve(server, ln) })
	select {
	case err := <-done:
		return errors.Wrap(err, "admin: serve")
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if server.Shutdown(grace) != nil {
		_ = server.Close()
	}
	return nil
}

func serve(server *http.Server, ln net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(ln, "", "")
	}
	return server.Serve(ln)
}
