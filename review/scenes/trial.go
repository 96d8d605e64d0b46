package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const host = "nominations.example"

// run is one request that a replica began to work on.
type run struct {
	attempt, replica, service, request string
	at                                 time.Time
}

// trial is one deployment on loopback and the record of what was sent, answered and run.
type trial struct {
	dir     string
	store   *store
	address string // of the store
	daemons []*daemon
	began   time.Time

	mu        sync.Mutex
	lines     []string
	runs      []run
	processes []*exec.Cmd // all that were started
}

// daemon is one process of the deploy file's role.
type daemon struct {
	front, ready string
	cmd          *exec.Cmd
}

// newTrial starts a store. dir gets the settings and logs.
func newTrial(dir string) (*trial, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &trial{dir: dir, store: newStore(), address: ln.Addr().String(), began: time.Now()}
	server := &http.Server{Handler: t.store}
	go func() { _ = server.Serve(ln) }()
	return t, nil
}

// note adds a line to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, fmt.Sprintf("%7.3f s  ", time.Since(t.began).Seconds())+fmt.Sprintf(format, args...))
}

// ran records that a replica began to work on a request.
func (t *trial) ran(r run) {
	t.note("runs     %s at %s of %s: %s", r.attempt, r.replica, r.service, r.request)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, r)
}

// ended records that a replica stopped work on a request.
func (t *trial) ended(attempt, how string) {
	t.note("run ends %s: %s", attempt, how)
}

// runsOf returns the runs of a request.
func (t *trial) runsOf(attempt string) (out []run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// settings is what deploy/settings.yaml.template becomes for one daemon, with the bounds of the Placa Sul sheet.
const settings = `instance: {name: %q, data_centre: "poa-a"}
callers: {listen: %q}
ready: {listen: %q}
metrics: {listen: %q}
store: {address: %q, contact: 3000ms, apply: 2000ms, leave: 2000ms, heartbeat: 1200ms, keep: 300s}
relay: {listen: %q, seeds: [%q], data_centres: ["poa-a"]}
retries: {ratio: 0.2, slack: 54, window: 10s}
orders: {quiet: 3000ms, bootstrap: true}
drain: {grace: 8s}
limits: {memory_mb: 134, descriptors: 4100, cores: 1, share: 0.4, link: 1000.0}
log: {level: info, format: json}
`

// daemons is the number of daemons of a deployment.
const daemons = 2

// startDaemons starts the daemons and waits until they are ready.
func (t *trial) startDaemons(program string) error {
	var seed string
	for i := range daemons {
		var a [4]string // callers, ready, metrics, relay
		for j := range a {
			var err error
			if a[j], err = freeAddress(); err != nil {
				return err
			}
		}
		if i == 0 {
			seed = a[3]
		}
		name := fmt.Sprintf("front-poa-a-%d", i+1)
		file := filepath.Join(t.dir, name+".yaml")
		const mode = 0o600
		if err := os.WriteFile(file, fmt.Appendf(nil, settings, name, a[0], a[1], a[2], t.address, a[3], seed), mode); err != nil {
			return err
		}
		logFile, err := os.Create(filepath.Join(t.dir, name+".log"))
		if err != nil {
			return err
		}
		d := &daemon{front: a[0], ready: a[1], cmd: exec.Command(program, "attach")}
		d.cmd.Env = append(os.Environ(), "CORIANDERTURN_SETTINGS="+file)
		d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
		if err := d.cmd.Start(); err != nil {
			return err
		}
		t.track(d.cmd)
		t.daemons = append(t.daemons, d)
	}
	for _, d := range t.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	t.note("%d daemons are ready", daemons)
	return nil
}

func (d *daemon) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/corianderturn/readiness", http.NoBody)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// track notes a process that was started.
func (t *trial) track(cmd *exec.Cmd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processes = append(t.processes, cmd)
}

// stop ends all processes.
func (t *trial) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, cmd := range t.processes {
		_ = cmd.Process.Kill() // fails if it has ended
		_ = cmd.Wait()         // fails if it was waited for before
	}
}

// write writes the record to a file.
func (t *trial) write(file, verdict string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	const mode = 0o644
	return os.WriteFile(file, []byte(strings.Join(t.lines, "\n")+"\n"+verdict+"\n"), mode)
}

// route returns a route of a manifest.
func route(name, prefix, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 14000, "target_latency_ms": 900,
		"priority": 1, "service": service, "max_attempts": attempts,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// engine describes the engines of the service drafts in a manifest.
var engine = map[string]any{
	"slots": 12, "kv_tokens": 30222, "kv_token_bytes": 163840, "link_mbps": 1200000.0, "moves": true, "backups": true, "stride": 1, "most": 12,
	"handle_ttl_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
}

// manifest writes a version of the manifest. It names the services that its routes lead to.
func (t *trial) manifest(version int, routes ...map[string]any) {
	services, named := []any{}, map[any]bool{}
	for _, r := range routes {
		if named[r["service"]] {
			continue
		}
		named[r["service"]] = true
		s := map[string]any{"name": r["service"], "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}
		if r["service"] == "drafts" {
			s["engine"] = engine
		}
		services = append(services, s)
	}
	t.store.put(topicConfig, "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	t.note("manifest version %d is acknowledged", version)
}
