package testbed

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Bed starts processes and links and ends all that it started. It is safe for
// concurrent use.
type Bed struct {
	// Bin is the folder of the built programs, Dir that of outputs and settings.
	Bin string
	Dir string

	mu    sync.Mutex
	procs []*Process
	links []*Link
}

// New returns a bed for the programs in bin; dir must exist.
func New(bin, dir string) *Bed {
	return &Bed{Bin: bin, Dir: dir}
}

// Build compiles the named programs of this module into a folder.
func Build(ctx context.Context, bin string, programs ...string) error {
	args := []string{"build", "-o", bin + string(filepath.Separator)}
	for _, name := range programs {
		args = append(args, "github.com/corianderturn/corianderturn/cmd/"+name)
	}
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// Start runs a program of the bed and waits, while ctx lasts, for its ready line.
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

// Processes returns what was started, the ended ones too.
func (b *Bed) Processes() []*Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.procs)
}

// Link adds a link to a target; see newLink.
func (b *Bed) Link(target string, identify identify) (*Link, error) {
	l, err := newLink(target, identify)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links = append(b.links, l)
	return l, nil
}

// Close kills every process, frozen ones too, and closes the links.
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
