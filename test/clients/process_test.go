package clients

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/corianderturn/corianderturn/internal/testbed"
)

const (
	// waitTimeout is far longer than any single wait in a test that passes.
	waitTimeout = 30 * time.Second
	// testTimeout ends a test whose processes hang.
	testTimeout    = 2 * time.Minute
	pollInterval   = 20 * time.Millisecond
	sampleInterval = 25 * time.Millisecond
	megabyte       = 1 << 20
	// farBeyond is how many times its memory a process may hold before the test kills it, for the machine's
	// sake.
	farBeyond = 6
)

var bin string // directory of the built programs

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clients")
	if err == nil {
		err = testbed.Build(context.Background(), dir, testbed.ProgramDaemon, testbed.ProgramStandIn)
	}
	if err != nil {
		panic(err)
	}
	bin = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a daemon under test with its bounds.
type process struct {
	pid  int
	kill func()
	// running reports whether the process has not exited, and output returns the end of what it wrote.
	running func() bool
	output  func() string
	// memoryMB and descriptors are the bounds of the process: its peak memory together with the bytes
	// that its listeners have received and not read, and its open descriptors.
	memoryMB, descriptors int
	listeners             map[string]string // address by name
	usesTLS               bool              // for callers
	// ordinary sends the request of an ordinary client.
	ordinary func(ctx context.Context) error
	// readiness sends the check of a load balancer.
	readiness func(ctx context.Context) error

	mu              sync.Mutex // guards the peaks
	peakMemory      int64      // bytes
	peakUnread      int64      // bytes
	peakDescriptors int
}

// limitDescriptors makes the kernel enforce the bound of descriptors.
func (p *process) limitDescriptors(t *testing.T) {
	t.Helper()
	limit := unix.Rlimit{Cur: uint64(p.descriptors), Max: uint64(p.descriptors)}
	if err := unix.Prlimit(p.pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
}

// sample samples the process until ctx ends.
func (p *process) sample(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		p.sampleOnce()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (p *process) sampleOnce() {
	unread := p.unread()
	resident := p.status("VmRSS") + unread
	peak := p.status("VmHWM") // the kernel's, which misses nothing between two samples
	open := p.openDescriptors()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMemory = max(p.peakMemory, resident, peak)
	p.peakUnread = max(p.peakUnread, unread)
	p.peakDescriptors = max(p.peakDescriptors, open)
	if p.peakMemory > int64(farBeyond*p.memoryMB)*megabyte {
		p.kill()
	}
}

// status returns a size in bytes from the status of the process, 0 if it has exited.
func (p *process) status(name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name+":" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)) // an error if it has exited
	return len(entries)
}

// unread returns the bytes that the kernel holds for the listeners' connections, as /proc/net/tcp
// tells them: columns 2 and 5 are the local address and the queues, in hexadecimal.
func (p *process) unread() (sum int64) {
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !p.isListenerPort(fields[1]) || fields[3] == "0A" { // 0A is a listener
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += n
	}
	return sum
}

func (p *process) isListenerPort(local string) bool {
	_, hex, _ := strings.Cut(local, ":")
	port, err := strconv.ParseUint(hex, 16, 16)
	if err != nil {
		return false
	}
	for _, address := range p.listeners {
		if strings.HasSuffix(address, fmt.Sprintf(":%d", port)) {
			return true
		}
	}
	return false
}

// check checks that the process lives and stayed within its bounds.
func (p *process) check(t *testing.T) {
	t.Helper()
	p.sampleOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("peak %d MB, of which unread at most %d MB; %d descriptors", p.peakMemory/megabyte, p.peakUnread/megabyte, p.peakDescriptors)
	if p.peakMemory > int64(p.memoryMB)*megabyte {
		t.Errorf("held %d MB at its peak, bound %d MB", p.peakMemory/megabyte, p.memoryMB)
	}
	if p.peakDescriptors > p.descriptors {
		t.Errorf("%d descriptors open, bound %d", p.peakDescriptors, p.descriptors)
	}
	if !p.running() {
		t.Fatalf("the process has ended: %s", p.output())
	}
}

// eventually polls f until it returns nil, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, f func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			t.Errorf("%s: %v", what, err)
			return
		}
	}
}

// ordinaryClient opens a new connection for each request.
var ordinaryClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}},
	Timeout:   5 * time.Second,
}

// expectOK sends a request and returns an error unless it is answered with 200.
func expectOK(req *http.Request) error {
	resp, err := ordinaryClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// get returns a function that expects 200 at a URL.
func get(url string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		return expectOK(req)
	}
}

// outputTail returns the end of a file.
func outputTail(file string) string {
	const most = 4000
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-most):])
}
