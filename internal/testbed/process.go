// Package testbed runs built programs as separate processes on loopback, for
// tests, the demo and the measurements: it starts them, kills, freezes and
// stops them by their ids, cuts the links between them, and stops all it
// started. The product never imports it.
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

// stateInterval is the time between two looks at a process's state.
const stateInterval = 2 * time.Millisecond

// Spec says what to start.
type Spec struct {
	// Name is unique among the bed's running processes; its output goes to
	// NAME.stderr and NAME.stdout.
	Name string
	// Program is the file to run.
	Program string
	Args    []string
}

// Ready is the line that a program prints once it listens. Stand-ins give
// Listen and Control, daemons Instance, Incarnation and Callers.
type Ready struct {
	Listen      string `json:"listen"`
	Control     string `json:"control"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Callers     string `json:"callers"`
}

// Process is one started program. Its methods are safe for concurrent use.
type Process struct {
	Spec
	Ready
	cmd    *exec.Cmd
	stderr string
	wg     conc.WaitGroup
	done   chan struct{}
	err    error // set before done is closed
}

// start runs spec and waits for its ready line. A program that ends or whose
// line does not come before ctx ends is an error that shows its last output.
func start(ctx context.Context, spec Spec, dir string) (*Process, error) {
	p := &Process{Spec: spec, stderr: filepath.Join(dir, spec.Name+".stderr"), done: make(chan struct{})}
	stderr, err := os.OpenFile(p.stderr, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer stderr.Close()
	p.cmd = exec.Command(spec.Program, spec.Args...)
	p.cmd.Stderr = stderr
	// The kernel kills the process when this one dies, so that a test that is
	// itself killed leaves nothing behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", spec.Name)
	}
	line := make(chan []byte, 1)
	p.wg.Go(func() { p.follow(stdout, line, filepath.Join(dir, spec.Name+".stdout")) })
	if err := p.awaitReady(ctx, line); err != nil {
		p.Kill()
		return nil, errors.Wrapf(err, "%s: %s", spec.Name, p.Tail())
	}
	return p, nil
}

// follow passes on the ready line, which is the first that begins an object,
// keeps the rest in a file and then waits for the end of the process. Command
// lines print their usage to the same place before they fail.
func (p *Process) follow(stdout io.Reader, line chan<- []byte, file string) {
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

func (p *Process) awaitReady(ctx context.Context, line <-chan []byte) error {
	select {
	case first, ok := <-line:
		if !ok {
			return errors.New("ended before it was ready")
		}
		return errors.Wrap(json.Unmarshal(first, &p.Ready), "ready line")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "not ready")
	}
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once (SIGKILL) and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	p.wg.Wait()
}

// Signal sends a signal and does not wait.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrap(p.cmd.Process.Signal(s), p.Name)
}

// Terminate asks the process to end (SIGTERM) and waits until it has; its error
// is the exit status's or ctx's.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits for the end of the process; its error is the exit status's or ctx's.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return errors.Wrap(p.err, p.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s runs on", p.Name)
	}
}

// Freeze stops the process (SIGSTOP) and returns once it stands still.
func (p *Process) Freeze(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	tick := time.NewTicker(stateInterval)
	defer tick.Stop()
	for {
		stopped, err := p.stopped()
		if stopped || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s does not stop", p.Name)
		}
	}
}

// Thaw lets a frozen process run on (SIGCONT).
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// stopped reads the process's state from the kernel; it is the field after the
// name, which is in parentheses.
func (p *Process) stopped() (bool, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return false, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(rest, "T"), nil
}

// maxTail bounds what Tail returns, in bytes.
const maxTail = 2 << 10

// Tail returns the end of what the process wrote to standard error.
func (p *Process) Tail() string {
	data := p.Stderr()
	if len(data) > maxTail {
		data = data[len(data)-maxTail:]
	}
	return data
}

// Stderr returns all that the process, and earlier ones of its name, wrote to
// standard error.
func (p *Process) Stderr() string {
	data, err := os.ReadFile(p.stderr)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
