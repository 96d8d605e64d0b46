// Package admin serves the administration interface of a daemon. Operators read
// its bundle version, its requests in flight, and the upstreams and daemons in its
// view, and can start its drain. The messages are defined in package adminapi.
// Every request needs the bearer token. The interface cannot change the routing,
// which is configured by signed bundles only.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/settings"
)

// Source provides the daemon's state to the interface. Its methods must be safe for
// concurrent use and must not block.
type Source interface {
	BundleStatus() adminapi.BundleStatus
	Requests() adminapi.Requests
	Upstreams() adminapi.Upstreams
	Members() adminapi.Members
	// StartDrain starts the drain and returns without waiting for its end. Further
	// calls have no effect.
	StartDrain() adminapi.DrainResponse
}

// Limits of the token file, in bytes, and of the HTTP server. The limits of the
// server are low, since the interface has few clients and small requests.
const (
	minTokenBytes = 16
	maxTokenBytes = 4 << 10
	maxConns      = 32
	ioTimeout     = 10 * time.Second
	receiveBytes  = 256 << 10 // of all connections
)

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "bearer "

// Options configure a Server. All fields but Limited are required.
type Options struct {
	// Admin must pass settings.Admin.Check, which requires a loopback address unless
	// TLS is configured.
	Admin  settings.Admin
	Source Source
	// Limited counts the connections and requests that a limit ended. It may be nil.
	Limited frontend.LimitObserver
	Logger  log.Interface
}

// Server is the HTTP server of the administration interface. It implements
// supervise.Service. It keeps serving while the daemon drains, so that operators can
// observe the drain.
type Server struct {
	*frontend.Listener
	opts        Options
	tokenDigest [sha256.Size]byte // compared instead of the token, so that timing does not reveal its length
}

// New reads the token and the certificates. It fails if the settings have no listen
// address; a daemon without one must not create a Server.
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
	s := &Server{opts: opts, tokenDigest: sha256.Sum256([]byte(token))}
	cfg, err := opts.Admin.TLS.Config()
	if err != nil {
		return nil, errors.Wrap(err, "admin")
	}
	s.Listener = frontend.NewListener(frontend.ListenerOptions{
		Name: "admin", Address: opts.Admin.Listen, TLS: cfg, MaxConns: maxConns, Timeout: ioTimeout, ReceiveBytes: receiveBytes, Short: true, Handler: s.routes(),
		Report: frontend.NewLimitReporter("admin", opts.Limited, opts.Logger),
	})
	return s, nil
}

// readToken reads the token from a file. Its errors do not contain the file's content.
func readToken(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "admin: open token file")
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxTokenBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "admin: read token file")
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenBytes || len(raw) > maxTokenBytes {
		return "", errors.Errorf("admin: the token in %s must have %d to %d bytes", file, minTokenBytes, maxTokenBytes)
	}
	return token, nil
}

func (s *Server) routes() *httprouter.Router {
	r := httprouter.New()
	r.NotFound = s.requireToken(func(w http.ResponseWriter) { writeJSON(w, http.StatusNotFound, adminapi.Error{Error: "no such path"}) })
	r.MethodNotAllowed = s.requireToken(func(w http.ResponseWriter) {
		writeJSON(w, http.StatusMethodNotAllowed, adminapi.Error{Error: "the path takes another method"})
	})
	src := s.opts.Source
	get := func(path string, read func() any) {
		r.Handler(http.MethodGet, path, s.requireToken(func(w http.ResponseWriter) { writeJSON(w, http.StatusOK, read()) }))
	}
	get(adminapi.PathBundle, func() any { return src.BundleStatus() })
	get(adminapi.PathRequests, func() any { return src.Requests() })
	get(adminapi.PathUpstreams, func() any { return src.Upstreams() })
	get(adminapi.PathMembers, func() any { return src.Members() })
	r.Handler(http.MethodPost, adminapi.PathDrain, s.requireToken(func(w http.ResponseWriter) {
		s.opts.Logger.Info("drain requested")
		writeJSON(w, http.StatusAccepted, src.StartDrain())
	}))
	return r
}

// requireToken wraps h so that requests without the token get status 401.
func (s *Server) requireToken(h func(http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, adminapi.Error{Error: "send Authorization: Bearer and the administration token"})
			return
		}
		h(w)
	})
}

// authorized reports whether the request has exactly one Authorization header with the
// token. The comparison takes constant time.
func (s *Server) authorized(r *http.Request) bool {
	values := r.Header.Values("Authorization")
	if len(values) != 1 || len(values[0]) < len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return false
	}
	digest := sha256.Sum256([]byte(values[0][len(bearerPrefix):]))
	return subtle.ConstantTimeCompare(digest[:], s.tokenDigest[:]) == 1
}

// writeJSON writes v as the response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Connection", "close") // request bodies are not read, so the connection cannot be reused
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the connection is closed
}
