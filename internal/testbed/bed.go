package testbed

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Bed manages the processes and links of one test environment; Close ends all of
// them. It is safe for concurrent use.
type Bed struct {
	// Bin is the directory of the built programs, Dir the directory for their
	// output and settings files.
	Bin string
	Dir string

	mu    sync.Mutex
	procs []*Process
	links []*Link
}

// New returns a Bed that runs programs from bin and writes files to dir, which
// must exist.
func New(bin, dir string) *Bed {
	return &Bed{Bin: bin, Dir: dir}
}

// Build compiles the named programs of this module into the directory bin.
func Build(ctx context.Context, bin string, programs ...string) error {
	args := []string{"build", "-o", bin + string(filepath.Separator)}
	for _, name := range programs {
		args = append(args, "github.com/corianderturn/corianderturn/cmd/"+name)
	}
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// Start runs a program from Bin as a process called name and waits for its ready
// line. It fails when ctx ends first.
func (b *Bed) Start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	p, err := start(ctx, Spec{Name: name, Program: filepath.Join(b.Bin, program), Args: args}, b.Dir)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs = append(b.procs, p)
	return p, nil
}

// Processes returns all processes started so far, including those that have ended.
func (b *Bed) Processes() []*Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.procs)
}

// Link starts a Link that forwards connections to target. identify may be nil;
// see identifyFunc.
func (b *Bed) Link(target string, identify identifyFunc) (*Link, error) {
	l, err := newLink(target, identify)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links = append(b.links, l)
	return l, nil
}

// Close kills all processes, including frozen ones, in reverse order of their
// start, and closes the links.
func (b *Bed) Close() {
	b.mu.Lock()
	procs, links := b.procs, b.links
	b.procs, b.links = nil, nil
	b.mu.Unlock()
	for _, p := range slices.Backward(procs) {
		p.Kill()
	}
	for _, l := range links {
		l.Close()
	}
}
