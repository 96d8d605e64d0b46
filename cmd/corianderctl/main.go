// Command corianderctl is the command-line tool for operators. It generates keys, validates,
// drafts, signs and publishes bundles, and shows the state of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/corianderturn/corianderturn/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.Env{Stdout: os.Stdout, Stderr: os.Stderr})
	stop()
	os.Exit(code)
}
