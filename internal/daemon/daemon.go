// Package daemon holds the command line of the corianderturn program.
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

// Version is the release; the build sets it.
var Version = "dev"

// CLI is the command line.
type CLI struct {
	PrintDefaults printDefaults `help:"Print every setting with its default, unit and meaning, and exit."`

	Serve   ServeCmd   `cmd:"" help:"Run the daemon until SIGTERM, then drain."`
	Attach  AttachCmd  `cmd:"" help:"Run the daemon on the users' platform until SIGTERM, then drain."`
	Check   CheckCmd   `cmd:"" help:"Validate a settings file."`
	Version VersionCmd `cmd:"" help:"Print the release."`
}

// KongOptions name and describe the program.
func KongOptions() []kong.Option {
	return []kong.Option{
		kong.Name("corianderturn"),
		kong.Description("Router in front of prefill and decode pools and plain services."),
		kong.UsageOnError(),
	}
}

// ServeCmd runs the daemon.
type ServeCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, YAML."`
}

// Ready is the line that serve prints on standard output once it listens.
type Ready struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Callers     string `json:"callers"`
}

// Run implements the command.
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

// AttachCmd runs the daemon on a platform of its users.
type AttachCmd struct {
	Settings string `required:"" type:"existingfile" env:"CORIANDERTURN_SETTINGS" help:"Settings file, YAML."`
}

// Run implements the command.
func (c *AttachCmd) Run(ctx context.Context) error {
	s, err := settings.LoadAttached(c.Settings)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(os.Stdout, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	bounded := telemetry.NewBounded(logger.Handler)
	defer bounded.Close(logFlush)
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

// logFlush bounds the wait for the last log lines at the end.
const logFlush = 200 * time.Millisecond

// settingsEvery is how often the settings file is looked at: it may change without a
// signal.
const settingsEvery = 2 * time.Second

// followSettings reads the settings again on SIGHUP and when their file changes,
// until ctx ends. Without a handler SIGHUP would end the process and cut every
// request that it holds.
func followSettings(ctx context.Context, file string, a *router.Attached) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	seen := stamp(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if stamp(file) == seen {
				continue
			}
		}
		seen = stamp(file)
		s, err := settings.LoadAttached(file)
		a.Reload(s, err)
	}
}

// fileStamp tells one content of a file from another.
type fileStamp struct {
	at   time.Time
	size int64
}

// stamp returns a zero value for a file that cannot be read, which the next reading
// then reports.
func stamp(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{at: info.ModTime(), size: info.Size()}
}

// CheckCmd validates a settings file.
type CheckCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, YAML."`
	Attached bool   `help:"The file is one of an attached daemon."`
}

// Run implements the command.
func (c *CheckCmd) Run() error {
	if err := c.load(); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.Settings)
	return nil
}

func (c *CheckCmd) load() error {
	if c.Attached {
		_, err := settings.LoadAttached(c.Settings)
		return err
	}
	_, err := settings.Load(c.Settings)
	return err
}

// printDefaults is the flag that prints the default settings in place of a command.
type printDefaults bool

// BeforeReset is called by kong when the flag is given, before it asks for a command.
func (printDefaults) BeforeReset(app *kong.Kong) error {
	if err := settings.PrintDefaults(app.Stdout); err != nil {
		return err
	}
	app.Exit(0)
	return nil
}

// VersionCmd prints the release.
type VersionCmd struct{}

// Run implements the command.
func (VersionCmd) Run() error {
	fmt.Println(Version)
	return nil
}
