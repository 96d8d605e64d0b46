// Command corianderturn is the daemon of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/daemon"
	"github.com/corianderturn/corianderturn/settings"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == attach {
		// The platform may tell of changed settings at any moment. Until the daemon
		// follows them, the signal would end the process.
		signal.Ignore(syscall.SIGHUP)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "corianderturn:", err)
		os.Exit(exitCode(err))
	}
}

// attach is the command that runs a daemon on the users' platform.
const attach = "attach"

// exitSettings is the exit code for a fault of the settings, so that whoever starts
// the daemon can tell one that never will run from one that failed.
const exitSettings = 2

func exitCode(err error) int {
	var fault *settings.Error
	if errors.As(err, &fault) {
		return exitSettings
	}
	return 1
}

// run returns once the command is done; SIGINT and SIGTERM end serve gracefully.
func run() error {
	var cli daemon.CLI
	k := kong.Parse(&cli, daemon.KongOptions()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	return k.Run()
}
