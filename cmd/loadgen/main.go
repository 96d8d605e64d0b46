// Command loadgen sends open-loop load from a seeded generator to daemons and checks every
// answer. Its subcommands also run a demonstration and the performance measurements.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli holds the subcommands.
type cli struct {
	Run     runCmd     `cmd:"" help:"Send load to running daemons and report latencies and outcomes as seen by callers."`
	Demo    demoCmd    `cmd:"" help:"Run a short demonstration: mixed load, a bundle rollout, a killed daemon and a drained daemon."`
	Measure measureCmd `cmd:"" help:"Compare the routing policies on real processes, under load and injected faults."`
	Slopes  slopesCmd  `cmd:"" help:"Measure how resource usage grows with each size parameter."`
	Plot    plotCmd    `cmd:"" help:"Regenerate the report and charts of a measurement from its raw data."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c,
		kong.Name("loadgen"),
		kong.Description("Open-loop load generator and measurements for corianderturn."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
