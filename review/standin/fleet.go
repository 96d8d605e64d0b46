package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// host is the host of all routes.
const host = "ficu95.example"

// journal writes what happens to record.txt.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var recorded = &journal{began: time.Now()}

// note adds a line to record.txt.
func note(format string, args ...any) {
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	fmt.Fprintf(recorded.file, "%8.3f "+format+"\n", append([]any{time.Since(recorded.began).Seconds()}, args...)...)
}

// skip ends the script because the case could not run.
func skip(format string, args ...any) {
	note("could not run: "+format, args...)
	endAll()
	os.Exit(exitUnable)
}

// started holds the processes that this one has started.
var started struct {
	sync.Mutex
	list []*process
}

// process is a process that this one has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process with its output in a file.
func start(log string, env []string, name string, args ...string) *process {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		skip("%v", err)
	}
	defer out.Close()
	p := &process{cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		skip("%v", err)
	}
	started.Lock()
	started.list = append(started.list, p)
	started.Unlock()
	notePID(filepath.Dir(log), p.cmd.Process.Pid)
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	return p
}

// pidFile is the file to which notePID writes.
var pidFile string

// notePID adds a process to the file by which run.sh ends what is left.
func notePID(dir string, pid int) {
	pidFile = filepath.Join(dir, "pids")
	f, err := os.OpenFile(pidFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintln(f, pid)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// endAll ends all processes that this one has started.
func endAll() {
	started.Lock()
	list := started.list
	started.Unlock()
	for _, p := range list {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	_ = os.Remove(pidFile)
}

// daemon is one process of the system.
type daemon struct {
	*process
	name           string
	callers, ready string
	settings       string
	program, log   string
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	ln := listen()
	defer ln.Close()
	return ln.Addr().String()
}

// startDaemons starts n daemons in one zone, with the settings that the deploy file's template gives in a
// small deployment.
func startDaemons(program, dir, store string, n, memoryMB int) []*daemon {
	var control []string
	for range n {
		control = append(control, freeAddress())
	}
	seeds, _ := json.Marshal(control)
	var out []*daemon
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-poa-a-%d", i+1), callers: freeAddress(), ready: freeAddress(), program: program}
		d.settings = filepath.Join(dir, d.name+".yaml")
		d.log = filepath.Join(dir, d.name+".log")
		text := fmt.Sprintf(`instance: {name: %q, data_centre: "poa-a"}
callers: {listen: %q}
ready: {listen: %q}
metrics: {listen: %q}
store: {address: %q, contact: 3000ms, apply: 2000ms, leave: 2000ms, heartbeat: 1200ms, keep: 300s}
relay: {listen: %q, seeds: %s, data_centres: ["poa-a"]}
retries: {ratio: 0.2, slack: 54, window: 10s}
orders: {quiet: 3000ms, bootstrap: true}
drain: {grace: 8s}
limits: {memory_mb: %d, descriptors: 4100, cores: 1, share: 0.4, link: 1000}
log: {level: info, format: json}
`, d.name, d.callers, d.ready, freeAddress(), store, control[i], seeds, memoryMB)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			skip("%v", err)
		}
		out = append(out, d)
	}
	for _, d := range out {
		d.start()
	}
	for _, d := range out {
		d.awaitReady()
	}
	for _, d := range out { // from now on a start is not the first one
		text, err := os.ReadFile(d.settings)
		if err == nil {
			err = os.WriteFile(d.settings, bytes.Replace(text, []byte("bootstrap: true"), []byte("bootstrap: false"), 1), 0o600)
		}
		if err != nil {
			skip("%v", err)
		}
	}
	return out
}

func (d *daemon) start() {
	d.process = start(d.log, []string{"CORIANDERTURN_SETTINGS=" + d.settings}, d.program, "attach")
	note("%s started, process %d, callers at %s", d.name, d.cmd.Process.Pid, d.callers)
}

// awaitReady waits until the daemon reports itself ready.
func (d *daemon) awaitReady() {
	hc := &http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := hc.Get("http://" + d.ready + "/corianderturn/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	skip("%s is not ready", d.name)
}

// route returns a route of the manifest.
func route(name, prefix, kind, service string, attempts, timeoutMS, targetMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "max_attempts": attempts,
		"timeout_ms": timeoutMS, "target_latency_ms": targetMS, "priority": 1,
	}
}

// manifest writes a manifest.
func (s *store) manifest(version int, services []any, routes ...any) {
	s.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// register writes a replica's registration, and renews it until stop is closed.
func (s *store) register(id, service, address, stage string, slots int, stop <-chan struct{}) {
	s.registerBorn(id, service, address, stage, slots, time.Now().UnixMilli(), stop)
}

// registerBorn is register for a replica with a start time.
func (s *store) registerBorn(id, service, address, stage string, slots int, born int64, stop <-chan struct{}) {
	for seq := 1; ; seq++ {
		entry := map[string]any{
			"service": service, "address": address, "zone": "poa-a", "version": "v1", "slots": slots,
			"state": "in_service", "cold_left_ms": 0, "seq_no": seq, "born": born,
		}
		if stage != "" {
			entry["stage"] = stage
		}
		s.put("keyed.servers", id, entry)
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// dialable waits until an address accepts connections.
func dialable(address string) {
	for range 100 {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	skip("nothing accepts connections at %s", address)
}
