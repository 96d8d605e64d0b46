// Package daemon implements the command line of the corianderturn program.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/router"
	"github.com/corianderturn/corianderturn/settings"
)

// Version is the release. It is to be set at build time.
var Version = "dev"

// CLI holds the subcommands and flags.
type CLI struct {
	PrintDefaults printDefaults `help:"Print every setting with its default, unit and documentation, and exit."`

	Serve   ServeCmd   `cmd:"" help:"Run the daemon until SIGTERM, then drain."`
	Attach  AttachCmd  `cmd:"" help:"Run the daemon on the users' platform until SIGTERM, then drain."`
	Check   CheckCmd   `cmd:"" help:"Validate a settings file."`
	Version VersionCmd `cmd:"" help:"Print the release."`
}

// KongOptions returns the options with which kong parses CLI.
func KongOptions() []kong.Option {
	return []kong.Option{
		kong.Name("corianderturn"),
		kong.Description("Router in front of prefill and decode pools and plain services."),
		kong.UsageOnError(),
	}
}

// ServeCmd runs the daemon with bundles from the log.
type ServeCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, YAML."`
}

// Ready is printed as a line of JSON on standard output once the callers' listener is open.
type Ready struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Callers     string `json:"callers"`
}

// Run is called by kong to run the command.
func (c *ServeCmd) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	r, err := router.New(s, router.Options{Logger: logger})
	if err != nil {
		return err
	}
	ready := Ready{Instance: r.Self().Instance, Incarnation: r.Self().Incarnation, Callers: r.CallersAddress()}
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return errors.Wrap(err, "print the ready line")
	}
	return r.Run(ctx)
}

// AttachCmd runs the daemon attached to its users' platform.
type AttachCmd struct {
	Settings string `required:"" type:"existingfile" env:"CORIANDERTURN_SETTINGS" help:"Settings file, YAML."`
}

// Run is called by kong to run the command.
func (c *AttachCmd) Run(ctx context.Context) error {
	s, err := settings.LoadAttached(c.Settings)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(os.Stdout, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	bounded := telemetry.NewAsyncHandler(logger.Handler)
	defer bounded.Close(logFlushTimeout)
	logger.Handler = bounded
	a, err := router.NewAttached(s, logger)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { followSettings(ctx, c.Settings, a) })
	return a.Run(ctx)
}

// logFlushTimeout is the maximum time for which the process waits at its end until queued log
// lines are written.
const logFlushTimeout = 200 * time.Millisecond

// settingsPollInterval is the time between two checks of the settings file for changes, which
// need not be announced by a signal.
const settingsPollInterval = 2 * time.Second

// followSettings reloads the settings on SIGHUP and when their file changes, until ctx is
// cancelled. Without a handler SIGHUP would end the process and abort all requests in flight.
func followSettings(ctx context.Context, file string, a *router.Attached) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	seen := versionOf(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if versionOf(file) == seen {
				continue
			}
		}
		seen = versionOf(file)
		s, err := settings.LoadAttached(file)
		a.Reload(s, err)
	}
}

// fileVersion identifies a version of a file's content.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// versionOf returns the zero value if the file's metadata cannot be read. If the file is missing,
// the reload that this change causes reports the error.
func versionOf(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modTime: info.ModTime(), size: info.Size()}
}

// CheckCmd validates a settings file without starting a daemon.
type CheckCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, YAML."`
	Attached bool   `help:"Validate the file as the settings of an attached daemon."`
}

// Run is called by kong to run the command.
func (c *CheckCmd) Run() error {
	if err := c.load(); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.Settings)
	return nil
}

// load returns the error that the daemon would report at its start.
func (c *CheckCmd) load() error {
	if c.Attached {
		_, err := settings.LoadAttached(c.Settings)
		return err
	}
	_, err := settings.Load(c.Settings)
	return err
}

// printDefaults is a flag that prints the default settings instead of running a command.
type printDefaults bool

// BeforeReset is called by kong if the flag is set, before it requires a command.
func (printDefaults) BeforeReset(app *kong.Kong) error {
	if err := settings.PrintDefaults(app.Stdout); err != nil {
		return err
	}
	app.Exit(0)
	return nil
}

// VersionCmd prints Version.
type VersionCmd struct{}

// Run is called by kong to run the command.
func (VersionCmd) Run() error {
	fmt.Println(Version)
	return nil
}
