package site

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// The host, path prefixes and services in the configuration that Configure writes.
const (
	Host        = "a.example"
	PathDraft   = "/draft/"  // resumable stream
	PathLetter  = "/letter/" // stream that must be executed at most once
	PathOrder   = "/order/"  // non-idempotent; must be executed at most once
	PathLookUp  = "/slot/"   // idempotent
	EngineSet   = "llm"
	PlainSet    = "app"
	engineSlots = 8
	// defaultAttempts is max_attempts of most routes.
	defaultAttempts = 3
	// defaultBodyBytes is the largest body that the configuration allows unless SetLimits changes it.
	defaultBodyBytes = 1 << 20
	// DefaultVersion is the version of the upstreams' software unless it is changed.
	DefaultVersion = "v1"
)

// Site runs a store and upstreams on loopback. Close stops them.
type Site struct {
	Store   *Store
	Account *Recorder

	mu        sync.Mutex
	upstreams map[string]*Upstream
	// fatalBodies has the bodies of the requests that crash an upstream. onCrash is
	// called for each upstream that has crashed.
	fatalBodies map[string]bool
	onCrash     func(u *Upstream)
	onDown      func(u *Upstream)
	// fatalParts has the ids of the prompt parts that crash an engine, with the number of events that
	// it sends before.
	fatalParts map[string]int
	teams      []any // teams of the next version of the configuration
	// orderAttempts is max_attempts of the route PathOrder in the next version of the configuration.
	orderAttempts int
	limits        Limits // of the next version of the configuration
	servers       []*http.Server
	closed        bool
	storeAddr     string
	wg            sync.WaitGroup
}

// ErrClosed is returned by Add on a closed site.
var ErrClosed = errors.New("the site is closed")

// New starts a site with a store and no upstreams.
func New() (*Site, error) {
	s := &Site{Store: NewStore(), upstreams: map[string]*Upstream{}, fatalBodies: map[string]bool{}, fatalParts: map[string]int{}, orderAttempts: defaultAttempts, limits: Limits{BodyBytes: defaultBodyBytes}}
	s.Account = newRecorder(s)
	var err error
	_, s.storeAddr, err = s.listen(s.Store)
	return s, err
}

// CrashOn makes requests with this body crash each upstream that executes them: the
// upstream closes its port, and its connections without a response. onCrash replaces
// the function given before; it is called once per crashed upstream, on its own
// goroutine, and may add a replacement.
func (s *Site) CrashOn(body string, onCrash func(u *Upstream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fatalBodies[body], s.onCrash = true, onCrash
}

// crashIfFatal crashes an upstream if the body of a request is fatal, and reports
// whether it is. If several such requests run on one upstream, the crash is recorded
// for each of them, but onCrash is called once.
func (s *Site) crashIfFatal(u *Upstream, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fatalBodies[body] {
		return false
	}
	s.crash(u, body)
	return true
}

// crash crashes an upstream under a request or prompt part; s.mu must be held.
func (s *Site) crash(u *Upstream, cause string) {
	s.Account.recordCrash(cause)
	if u.crashed {
		return
	}
	u.crashed = true
	if s.onDown != nil {
		s.onDown(u)
	}
	s.endProcess(u)
	if onCrash := s.onCrash; onCrash != nil && !s.closed {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			onCrash(u)
		}()
	}
}

// endProcess ends an upstream as the kernel ends a process that was killed: its connections first, its
// listening socket a moment later. Meanwhile new connections are accepted and nothing answers on them.
func (s *Site) endProcess(u *Upstream) {
	u.setRestarting(true)
	u.conns.closeAll()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		time.Sleep(restartTime)
		_ = u.server.Close() // an error if the site has closed it
	}()
}

// CrashOnPart makes requests whose prompt has a part with this id, other than the last, crash each
// engine that executes them, after it has sent a number of events. onCrash is as for CrashOn.
func (s *Site) CrashOnPart(id string, events int, onCrash func(u *Upstream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fatalParts[id], s.onCrash = events, onCrash
}

// MendPart makes requests whose prompt has this part crash engines no more.
func (s *Site) MendPart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fatalParts, id)
}

// fatalPart returns the part of a request that crashes engines, and the number of events sent
// before; the id is empty if there is none.
func (s *Site) fatalPart(r *http.Request) (id string, events int) {
	shared, _ := splitParts(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range shared {
		if n, ok := s.fatalParts[part]; ok {
			return part, n
		}
	}
	return "", 0
}

// splitParts returns the ids of the parts of a request's prompt that other requests may share, and
// that of the last part, which is its own.
func splitParts(r *http.Request) (shared []string, own string) {
	for entry := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(entry, ":")
		shared = append(shared, id)
	}
	last := len(shared) - 1
	return shared[:last], shared[last]
}

// crashOnPart crashes an engine under a prompt part.
func (s *Site) crashOnPart(u *Upstream, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash(u, id)
}

// OnDown sets a function that is called when an upstream crashes, before its connections end, so that
// what stands in front of it can refuse new ones. It must not call methods of the site.
func (s *Site) OnDown(down func(u *Upstream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDown = down
}

// OnCrash sets the function that CrashOn sets too.
func (s *Site) OnCrash(onCrash func(u *Upstream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCrash = onCrash
}

// Crash crashes an upstream under no request, as when its rack fails.
func (s *Site) Crash(u *Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash(u, "")
}

// StoreAddress returns the address at which the store listens.
func (s *Site) StoreAddress() string { return s.storeAddr }

// ServeView serves the store as one daemon sees it, and returns the address.
func (s *Site) ServeView(address func(upstream, address string) string) (string, error) {
	_, listen, err := s.listen(View{s.Store, address})
	return listen, err
}

// listen serves h on a free loopback port until Close.
func (s *Site) listen(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	const header = 10 * time.Second
	server := &http.Server{Handler: h, ReadHeaderTimeout: header}
	accept := ln
	if u, ok := h.(*Upstream); ok {
		server.ConnState = u.conns.track
		accept = silencedListener{faultyListener{ln, u}, &u.silence}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = ln.Close() // its address was not returned to anyone
		return nil, "", ErrClosed
	}
	s.servers = append(s.servers, server)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = server.Serve(accept) // returns after server.Close
	}()
	return server, ln.Addr().String(), nil
}

// Add starts an upstream and registers it. The role is "prefill" or "decode" for an
// engine and empty for a plain service. A stream has the given number of events,
// with pause between them; with 0 events the upstream sends a single response.
func (s *Site) Add(name, zone, role string, events int, pause time.Duration) (*Upstream, error) {
	u := &Upstream{
		Name: name, Service: PlainSet, Zone: zone, Events: events, Pause: pause,
		account: s.Account, role: role, reservations: map[string]time.Time{}, kvHandles: map[string]time.Time{}, version: DefaultVersion,
		flood: newFlood(),
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

// AddAnother withdraws the registration of a crashed upstream and starts one with
// the same settings under a new name.
func (s *Site) AddAnother(u *Upstream, name string) (*Upstream, error) {
	s.Withdraw(u.Name)
	return s.Add(name, u.Zone, u.Role(), u.Events, u.Pause)
}

// Register writes an upstream's registration, with the given state, to the store.
func (s *Site) Register(u *Upstream, state string) {
	record := map[string]any{
		"service": u.Service, "address": u.registeredAddress(), "zone": u.Zone, "version": u.Version(), "slots": engineSlots, "state": state, "cold_left_ms": 0, "stage": u.Role(),
	}
	u.mu.Lock()
	u.sequence++
	record["seq_no"] = u.sequence
	if u.born != 0 {
		record["born"] = u.born
	}
	u.mu.Unlock()
	s.Store.Put(TopicUpstreams, u.Name, record)
}

// Withdraw removes an upstream's registration from the store. The upstream still
// serves requests.
func (s *Site) Withdraw(name string) { s.Store.Put(TopicUpstreams, name, nil) }

// SetOrderAttempts sets max_attempts of the route PathOrder in the next version of the configuration.
func (s *Site) SetOrderAttempts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderAttempts = n
}

// Limits are the limits of clients' requests in the configuration; 0 states none.
type Limits struct {
	HeaderBytes  int `json:"max_header_bytes,omitempty"`
	BodyBytes    int `json:"max_body_bytes,omitempty"`
	HeaderMillis int `json:"header_timeout_ms,omitempty"`
	IdleMillis   int `json:"idle_timeout_ms,omitempty"`
}

// SetLimits sets the limits of requests in the next version of the configuration.
func (s *Site) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// Configure writes a version of the configuration to the store. Each extra prefix
// adds an idempotent route to the plain services.
func (s *Site) Configure(version int, extra ...string) {
	route := func(name, prefix, kind, service string, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": timeout, "target_latency_ms": target, "target_gap_ms": target, "max_attempts": defaultAttempts,
		}
	}
	draft := route("draft", PathDraft, "stream", EngineSet, 20_000, 2000)
	draft["resumable"] = true
	lookUp := route("look-up", PathLookUp, "idempotent", PlainSet, 10_000, 1000)
	lookUp["max_attempts"], lookUp["priority"] = 2, 2
	order := route("order", PathOrder, "non_idempotent", PlainSet, 10_000, 1000)
	s.mu.Lock()
	teams, limits := s.teams, s.limits
	order["priority"], order["max_attempts"] = 1, s.orderAttempts
	s.mu.Unlock()
	routes := []any{
		draft, lookUp,
		route("letter", PathLetter, "stream", EngineSet, 20_000, 2000),
		order,
	}
	for _, prefix := range extra {
		routes = append(routes, route("extra"+prefix, prefix, "idempotent", PlainSet, 10_000, 1000))
	}
	s.Store.Put(TopicConfig, "config", map[string]any{
		"version": version, "routes": routes, "tenants": teams,
		"services": []any{
			map[string]any{"name": EngineSet, "engine": map[string]any{
				"slots": engineSlots, "kv_tokens": 100_000, "kv_token_bytes": 1000, "link_mbps": 100_000, "stride": 1, "handle_ttl_s": 5, "role_switch_s": 1, "hold_ms": 2000,
			}},
			map[string]any{"name": PlainSet, "health_path": pathHealth},
		},
		"limits": limits,
	})
}

// releaseHandle frees a prefill result that a decode engine has fetched, and returns the version
// of the software that made it. The source has the form address/handle.
func (s *Site) releaseHandle(source string) (version string) {
	addr, handle, _ := strings.Cut(source, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.address == addr || u.registeredAddress() == addr {
			u.mu.Lock()
			delete(u.kvHandles, handle)
			version = u.version
			u.mu.Unlock()
		}
	}
	return version
}

// Close stops the store and the upstreams, and waits for calls of onCrash.
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

// IsRunning reports whether the upstream with this name exists and has not crashed.
func (s *Site) IsRunning(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[name]
	return u != nil && !u.crashed
}

// Upstream returns the upstream with this name, or nil if there is none.
func (s *Site) Upstream(name string) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[name]
}
