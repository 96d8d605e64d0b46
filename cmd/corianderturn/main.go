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
	var cli daemon.CLI
	k := kong.Parse(&cli, daemon.KongOptions()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "corianderturn:", err)
		os.Exit(1)
	}
}
