// Command corianderturn is the daemon of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/corianderturn/corianderturn/internal/daemon"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "corianderturn:", err)
		os.Exit(1)
	}
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
