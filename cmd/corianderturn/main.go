// Command corianderturn is the daemon that routes callers' requests to model engines and plain
// services. It runs on each entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/daemon"
	"github.com/corianderturn/corianderturn/settings"
)

func main() {
	if len(os.Args) > 1 && slices.Contains(daemonCommands, os.Args[1]) {
		// Service managers send SIGHUP when settings have changed, possibly before the daemon has
		// installed its handler, and serve has none. By default the signal would end the process.
		signal.Ignore(syscall.SIGHUP)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "corianderturn:", err)
		os.Exit(exitCode(err))
	}
}

// daemonCommands are the names of the subcommands that run the daemon.
var daemonCommands = []string{"serve", "attach"}

// exitInvalidSettings is the exit code for invalid settings. It lets a service manager
// distinguish a daemon that cannot start with this file from one that failed and may be restarted.
const exitInvalidSettings = 2

// exitCode returns the exit code of the process for an error of its command.
func exitCode(err error) int {
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return exitInvalidSettings
	}
	return 1
}

// run parses the command line and runs the command. SIGINT and SIGTERM cancel the command's
// context, on which serve and attach shut down gracefully.
func run() error {
	var cli daemon.CLI
	k := kong.Parse(&cli, daemon.KongOptions()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	return k.Run()
}
