package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// daemon controls one daemon: its current process and its files. It signals only processes that
// it started.
type daemon struct {
	options                      Options
	index                        int
	callersAddress, readyAddress string // listen addresses for callers and for the readiness probe
	settingsPath                 string
	faultMu                      sync.Mutex // held during injectSignal, so that signals do not overlap
	disturbedAt                  time.Time  // last element of disturbances; run.mu guards both
	disturbances                 []time.Time

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// relayAddresses returns the addresses at which daemons listen for other daemons. It returns
// none in a run without teams and limits, where daemons need not communicate.
func (r *run) relayAddresses() ([]string, error) {
	var out []string
	for i := 0; (r.options.Teams || r.options.RateLimits || r.options.Links || r.options.Versions || r.options.FatalParts || r.options.Skew || r.options.Silences || r.options.Restores) && i < r.options.Daemons; i++ {
		address, err := testbed.FreeAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

// newDaemon writes the settings of a daemon and does not start it yet.
func newDaemon(o Options, index int, storeAddress string, relayAddresses []string) (*daemon, error) {
	d := &daemon{options: o, index: index, settingsPath: filepath.Join(o.Dir, fmt.Sprintf("d%d.yaml", index))}
	var err error
	if d.callersAddress, err = testbed.FreeAddress(); err != nil {
		return nil, err
	}
	if d.readyAddress, err = testbed.FreeAddress(); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf("instance: {name: d%d, data_centre: dc1}\ncallers: {listen: %q}\nready: {listen: %q}\nstore: {address: %q}\nretries: {ratio: %g, slack: %g, window: %s}\nquota: {window: %s, excess: %g, slack: %g}\ndrain: {notice: 100ms, grace: 6s}\nlimits: {memory_mb: 512}\n",
		index, d.callersAddress, d.readyAddress, storeAddress, retryRatio, retrySlack, retryWindow, quotaWindow, quotaExcess, quotaSlack)
	if o.Skew {
		settings = strings.Replace(settings, "limits: {", fmt.Sprintf("limits: {descriptors: %d, ", skewDescriptors), 1)
	}
	if len(relayAddresses) > 0 {
		settings += fmt.Sprintf("relay: {listen: %q, seeds: [%q], data_centres: [dc1]}\n", relayAddresses[index], relayAddresses[0])
	}
	const mode = 0o600
	return d, errors.WithStack(os.WriteFile(d.settingsPath, []byte(settings), mode))
}

// start starts a process, which appends its output to the daemon's log.
func (d *daemon) start() error {
	const mode = 0o600
	out, err := os.OpenFile(filepath.Join(d.options.Dir, fmt.Sprintf("d%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return errors.WithStack(err)
	}
	defer out.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(d.options.Bin, "attach", "--settings", d.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a daemon")
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() {
		defer close(done)
		_ = cmd.Wait() // an error is expected, since most processes are killed
	}()
	return nil
}

// signal sends a signal to the process. The channel is closed when the process has exited.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // fails if the process has exited
	return d.done
}

// exited returns the channel that is closed when the current process has exited.
func (d *daemon) exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// kill kills the process and waits for its exit.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd != nil {
		<-d.signal(syscall.SIGKILL)
	}
}

func (d *daemon) ready() bool { return site.Ready(readinessClient, d.readyAddress) }
