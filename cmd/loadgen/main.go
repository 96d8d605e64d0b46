// Command loadgen sends seeded, open-loop load to daemons, checks every answer,
// and runs the measurements: see its subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Run runCmd `cmd:"" help:"Send load to running daemons and report what callers saw."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c,
		kong.Name("loadgen"),
		kong.Description("Open-loop load and measurements for corianderturn."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
