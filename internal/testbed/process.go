// Package testbed runs daemons and stand-ins for the platform and the upstreams as
// separate processes on loopback, for end-to-end tests, the demo and the
// experiments. It starts, freezes, stops and kills processes, cuts or stalls the
// connections between them, and ends everything it started. Only tests and tools
// import it, never a daemon.
package testbed

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// statePollInterval is the interval at which Freeze reads the state of a process.
const statePollInterval = 2 * time.Millisecond

// Spec describes a process to start.
type Spec struct {
	// Name is unique among the running processes of a Bed. Output goes to the files
	// NAME.stderr and NAME.stdout.
	Name string
	// Program is the path of the executable.
	Program string
	Args    []string
}

// Ready is the line of JSON that a program prints to standard output once it
// listens. Stand-ins set Listen and Control, daemons Instance, Incarnation and
// Callers.
type Ready struct {
	Listen      string `json:"listen"`
	Control     string `json:"control"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Callers     string `json:"callers"`
}

// Process is a started process. Its methods are safe for concurrent use.
type Process struct {
	Spec
	Ready
	cmd        *exec.Cmd
	stderrPath string // file with standard error
	wg         conc.WaitGroup
	done       chan struct{}
	err        error // result of cmd.Wait, set before done is closed
}

// start runs spec and waits for its ready line. When the process exits or ctx ends
// before that line, it returns an error with the end of the process's output.
func start(ctx context.Context, spec Spec, dir string) (*Process, error) {
	p := &Process{Spec: spec, stderrPath: filepath.Join(dir, spec.Name+".stderr"), done: make(chan struct{})}
	stderr, err := os.OpenFile(p.stderrPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer stderr.Close()
	p.cmd = exec.Command(spec.Program, spec.Args...)
	p.cmd.Stderr = stderr
	// The kernel kills the child process when the thread that started it ends, so
	// that a test that is killed leaves no processes behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", spec.Name)
	}
	line := make(chan []byte, 1)
	p.wg.Go(func() { p.readStdout(stdout, line, filepath.Join(dir, spec.Name+".stdout")) })
	if err := p.awaitReady(ctx, line); err != nil {
		p.Kill()
		return nil, errors.Wrapf(err, "%s: %s", spec.Name, p.StderrTail())
	}
	return p, nil
}

// readStdout sends the ready line to line, writes the rest of standard output to a
// file, and then waits for the process to exit. The ready line is the first that
// begins with "{"; earlier lines are skipped, since programs print their usage to
// standard output when their flags are invalid.
func (p *Process) readStdout(stdout io.Reader, line chan<- []byte, file string) {
	r := bufio.NewReader(stdout)
	for {
		text, err := r.ReadBytes('\n')
		if err != nil {
			break
		}
		if text[0] == '{' {
			line <- text
			break
		}
	}
	close(line)
	if out, err := os.Create(file); err == nil {
		_, _ = io.Copy(out, r)
		out.Close()
	}
	_, _ = io.Copy(io.Discard, r)
	p.err = p.cmd.Wait()
	close(p.done)
}

// awaitReady waits for the ready line and decodes it into p.Ready.
func (p *Process) awaitReady(ctx context.Context, line <-chan []byte) error {
	select {
	case first, ok := <-line:
		if !ok {
			return errors.New("process exited before it was ready")
		}
		return errors.Wrap(json.Unmarshal(first, &p.Ready), "ready line")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no ready line")
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	p.wg.Wait()
}

// Signal sends a signal without waiting for its effect.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrap(p.cmd.Process.Signal(s), p.Name)
}

// Terminate sends SIGTERM and waits until the process has exited. It returns an
// error for an exit status other than 0, and ctx.Err() when ctx ends first.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits until the process has exited. It returns an error for an exit status
// other than 0, and ctx.Err() when ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return errors.Wrap(p.err, p.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s has not exited", p.Name)
	}
}

// Freeze suspends the process with SIGSTOP and returns once it is suspended.
func (p *Process) Freeze(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	tick := time.NewTicker(statePollInterval)
	defer tick.Stop()
	for {
		stopped, err := p.stopped()
		if stopped || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s is not suspended", p.Name)
		}
	}
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// stopped reports whether the process is suspended. The state is the field of
// /proc/PID/stat that follows the program's name in parentheses; T means suspended.
func (p *Process) stopped() (bool, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return false, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(rest, "T"), nil
}

// maxTailBytes is the maximum number of bytes that StderrTail returns.
const maxTailBytes = 2 << 10

// StderrTail returns the last bytes that the process wrote to standard error.
func (p *Process) StderrTail() string {
	data := p.Stderr()
	if len(data) > maxTailBytes {
		data = data[len(data)-maxTailBytes:]
	}
	return data
}

// Stderr returns everything that this process and earlier processes of the same
// name wrote to standard error.
func (p *Process) Stderr() string {
	data, err := os.ReadFile(p.stderrPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
