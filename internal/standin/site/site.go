package site

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// The names in the configuration of a site.
const (
	Host        = "a.example"
	PathDraft   = "/draft/"  // stream; resumable
	PathOnce    = "/letter/" // stream; may run once
	PathOrder   = "/order/"  // may run once
	PathLookUp  = "/slot/"   // idempotent
	EngineSet   = "llm"
	PlainSet    = "app"
	engineSlots = 8
)

// Site is a store and upstreams on loopback. Close ends it.
type Site struct {
	Store   *Store
	Account *Account

	mu        sync.Mutex
	upstreams map[string]*Upstream
	// fatal are the bodies of requests that end each upstream that runs them, and onEnd is
	// told of an upstream that ended.
	fatal     map[string]bool
	onEnd     func(u *Upstream)
	teams     []any // of the next version
	servers   []*http.Server
	closed    bool
	storeAddr string
	wg        sync.WaitGroup
}

// ErrClosed says that a site was closed before an upstream was added.
var ErrClosed = errors.New("the site is closed")

// New starts a site with a store and no upstream.
func New() (*Site, error) {
	s := &Site{Store: NewStore(), upstreams: map[string]*Upstream{}, fatal: map[string]bool{}}
	s.Account = newAccount(s)
	var err error
	_, s.storeAddr, err = s.listen(s.Store)
	return s, err
}

// SetFatal makes requests with a body end each upstream that runs them, as the process of
// a replica that crashes: its port is closed, and its connections without an answer. onEnd
// is told of each on a goroutine of its own; it may start others in its place.
func (s *Site) SetFatal(body string, onEnd func(u *Upstream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fatal[body], s.onEnd = true, onEnd
}

// end ends an upstream if a request is fatal to it. Two that run there together both do;
// it is told once.
func (s *Site) end(u *Upstream, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fatal[body] {
		return false
	}
	s.Account.ended(body)
	if u.gone {
		return true
	}
	u.gone = true
	if err := u.server.Close(); err != nil {
		panic(err) // a mistake of this file
	}
	if onEnd := s.onEnd; onEnd != nil && !s.closed {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			onEnd(u)
		}()
	}
	return true
}

// StoreAddress returns where the store listens.
func (s *Site) StoreAddress() string { return s.storeAddr }

func (s *Site) listen(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	const header = 10 * time.Second
	server := &http.Server{Handler: h, ReadHeaderTimeout: header}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = ln.Close() // nobody has it
		return nil, "", ErrClosed
	}
	s.servers = append(s.servers, server)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = server.Serve(ln) // it ends with Close
	}()
	return server, ln.Addr().String(), nil
}

// Add starts an upstream and registers it. Role is "prefill" or "decode" for an
// engine and empty for a plain service.
func (s *Site) Add(name, zone, role string, events int, pause time.Duration) (*Upstream, error) {
	u := &Upstream{
		Name: name, Service: PlainSet, Zone: zone, Events: events, Pause: pause,
		account: s.Account, role: role, holds: map[string]time.Time{}, handles: map[string]time.Time{},
	}
	if role != "" {
		u.Service = EngineSet
	}
	server, addr, err := s.listen(u)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	u.server, u.address = server, addr
	s.upstreams[name] = u
	s.mu.Unlock()
	s.Register(u, "in_service")
	return u, nil
}

// AddAnother starts an upstream like one that ended, under a new name.
func (s *Site) AddAnother(u *Upstream, name string) (*Upstream, error) {
	s.Withdraw(u.Name)
	return s.Add(name, u.Zone, u.Role(), u.Events, u.Pause)
}

// Register writes an upstream's registration.
func (s *Site) Register(u *Upstream, state string) {
	s.Store.Put(TopicUpstreams, u.Name, map[string]any{
		"service": u.Service, "address": u.registered(), "zone": u.Zone, "version": "v1", "slots": engineSlots, "state": state, "cold_left_ms": 0, "stage": u.Role(), "seq_no": 1,
	})
}

// Withdraw takes an upstream's registration back; it goes on serving.
func (s *Site) Withdraw(name string) { s.Store.Put(TopicUpstreams, name, nil) }

// Configure writes a version of the configuration. Extra routes are idempotent ones
// to the plain services, by their prefix.
func (s *Site) Configure(version int, extra ...string) {
	route := func(name, prefix, kind, service string, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": timeout, "target_latency_ms": target, "target_gap_ms": target, "max_attempts": 3,
		}
	}
	draft := route("draft", PathDraft, "stream", EngineSet, 20_000, 2000)
	draft["resumable"] = true
	lookUp := route("look-up", PathLookUp, "idempotent", PlainSet, 10_000, 1000)
	lookUp["max_attempts"], lookUp["priority"] = 2, 2
	order := route("order", PathOrder, "non_idempotent", PlainSet, 10_000, 1000)
	order["priority"] = 1
	routes := []any{
		draft, lookUp,
		route("letter", PathOnce, "stream", EngineSet, 20_000, 2000),
		order,
	}
	for _, prefix := range extra {
		routes = append(routes, route("extra"+prefix, prefix, "idempotent", PlainSet, 10_000, 1000))
	}
	s.mu.Lock()
	teams := s.teams
	s.mu.Unlock()
	s.Store.Put(TopicConfig, "config", map[string]any{
		"version": version, "routes": routes, "tenants": teams,
		"services": []any{
			map[string]any{"name": EngineSet, "engine": map[string]any{
				"slots": engineSlots, "kv_tokens": 100_000, "kv_token_bytes": 1000, "link_mbps": 100_000, "stride": 1, "handle_ttl_s": 5, "role_switch_s": 1, "hold_ms": 2000,
			}},
			map[string]any{"name": PlainSet},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
	})
}

// take frees the result of a prefill that a decode engine has fetched.
func (s *Site) take(source string) {
	addr, handle, _ := strings.Cut(source, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.address == addr || u.registered() == addr {
			u.mu.Lock()
			delete(u.handles, handle)
			u.mu.Unlock()
		}
	}
}

// Close ends the site.
func (s *Site) Close() {
	s.mu.Lock()
	servers := s.servers
	s.closed = true
	s.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
	s.wg.Wait()
}

// Lives says whether an upstream has not ended.
func (s *Site) Lives(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[name]
	return u != nil && !u.gone
}

// Upstream returns an upstream by its name; nil when there is none.
func (s *Site) Upstream(name string) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[name]
}
