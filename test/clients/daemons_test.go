package clients

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

// The limits of an attached daemon under test: the memory of the smallest instance, and a quarter of its
// descriptors, which leave its callers 380 connections.
const (
	attachedMemoryMB    = 112
	attachedDescriptors = 1024
)

// The limits of a request in the configuration.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

// The names of the listeners.
const (
	callers = "callers"
	ready   = "ready"
	metrics = "metrics"
	daemons = "daemons" // for other daemons
	admin   = "admin"
)

// startAttached starts a daemon on the users' platform, with an engine of each role and a plain service.
func startAttached(t *testing.T) *process {
	t.Helper()
	return startAttachedWith(t, attachedDescriptors)
}

// startAttachedWith is startAttached with another number of descriptors.
func startAttachedWith(t *testing.T, descriptors int) *process {
	t.Helper()
	platform, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	platform.SetLimits(site.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderMillis: 3000, IdleMillis: 15_000})
	platform.Configure(1)
	const events, pause = 4, 5 * time.Millisecond
	for _, role := range []string{"prefill", "decode", ""} {
		if _, err := platform.Add("u-"+role, "dc1", role, events, pause); err != nil {
			t.Fatal(err)
		}
	}
	p := &process{memoryMB: attachedMemoryMB, descriptors: descriptors, listeners: map[string]string{}}
	for _, name := range []string{callers, ready, metrics, daemons} {
		if p.listeners[name], err = testbed.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("instance: {name: d0, data_centre: dc1}\ncallers: {listen: %q}\nready: {listen: %q}\nmetrics: {listen: %q}\nrelay: {listen: %q, seeds: [%q], data_centres: [dc1]}\nstore: {address: %q}\nlimits: {memory_mb: %d, descriptors: %d}\n",
		p.listeners[callers], p.listeners[ready], p.listeners[metrics], p.listeners[daemons], p.listeners[daemons], platform.StoreAddress(), p.memoryMB, p.descriptors)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.startProgram(t, "attach", "--settings", file)
	p.readiness = get("http://" + p.listeners[ready] + "/corianderturn/readiness")
	p.ordinary = func(ctx context.Context) error {
		req, err := site.NewRequest(ctx, p.listeners[callers], site.PathLookUp+"x", nextID(), waitTimeout)
		if err != nil {
			return err
		}
		return expectOK(req)
	}
	eventually(t, "ready", p.readiness)
	eventually(t, "serves", p.ordinary)
	p.limitDescriptors(t)
	return p
}

// startProgram starts the daemon's program and ends it with the test.
func (p *process) startProgram(t *testing.T, args ...string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "output")
	out, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(bin, testbed.ProgramDaemon), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var exited atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait() // an error is expected, since the process is killed
		exited.Store(true)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
	})
	p.pid = cmd.Process.Pid
	p.kill = func() { _ = cmd.Process.Kill() }
	p.running = func() bool { return !exited.Load() }
	p.output = func() string { return outputTail(file) }
}

// The limits of a daemon with its own interface: the memory is the default of its settings.
const (
	ownMemoryMB    = 512
	ownDescriptors = 1024
	ownConnections = 512
)

// startOwn starts a daemon with its own interface, with an engine of each role and a plain service.
func startOwn(t *testing.T) *process {
	t.Helper()
	return startOwnWith(t, "http://", func(*settings.Settings) {})
}

// startOwnWith is startOwn with changed settings. scheme begins the callers' URLs.
func startOwnWith(t *testing.T, scheme string, change func(s *settings.Settings)) *process {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	bed := testbed.New(bin, t.TempDir())
	t.Cleanup(bed.Close)
	var file settings.Settings
	fleet, err := testbed.StartFleet(ctx, bed, testbed.Layout{
		DataCentres: []string{"dc1"}, Daemons: 1, Prefill: 1, Decode: 1, Services: 1,
		Settings: func(_ int, s *settings.Settings) {
			s.Callers.MaxConnections = ownConnections
			change(s)
			file = *s
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.StartDaemons(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.Publisher.Publish(ctx, fleet.Bundle()); err != nil {
		t.Fatal(err)
	}
	d := fleet.Daemons[0]
	p := &process{
		pid: d.PID(), kill: d.Kill, running: d.Running, output: d.StderrTail, memoryMB: ownMemoryMB, descriptors: ownDescriptors,
		listeners: map[string]string{callers: d.CallersAddress, admin: d.AdminAddress, daemons: file.Peers.Listen},
		readiness: get(scheme + d.CallersAddress + "/readyz"),
		usesTLS:   scheme == "https://",
	}
	p.ordinary = func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+d.CallersAddress+"/services/"+testbed.ServiceName+"/x", strings.NewReader("a call"))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
		return expectOK(req)
	}
	eventually(t, "ready", p.readiness)
	eventually(t, "serves", p.ordinary)
	p.limitDescriptors(t)
	return p
}
