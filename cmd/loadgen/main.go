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
	Run     runCmd     `cmd:"" help:"Send load to running daemons and report what callers saw."`
	Demo    demoCmd    `cmd:"" help:"Run the short tour: a mixed load, a rolled bundle, a killed and a drained daemon."`
	Measure measureCmd `cmd:"" help:"Compare the policies on real processes, under load and faults."`
	Slopes  slopesCmd  `cmd:"" help:"Fit the cost of one more unit of each size."`
	Plot    plotCmd    `cmd:"" help:"Write a measurement's report and charts again from its raw figures."`
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
