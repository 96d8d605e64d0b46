// Command standin runs one stand-in for tests and trials: an engine, a plain
// service, the platform's log, its weight store or its instance list. It prints
// one line of JSON with its addresses when it is ready and ends on SIGTERM.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/instances"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/standin/weights"
)

// addresses are the flags that every stand-in has.
type addresses struct {
	Listen  string `help:"Address to serve on." default:"127.0.0.1:0"`
	Control string `help:"Address of the fault control API; loopback only." default:"127.0.0.1:0"`
}

type cli struct {
	Engine    engineCmd    `cmd:"" help:"A model engine, for prefill or decode."`
	Service   serviceCmd   `cmd:"" help:"A plain service."`
	Log       logCmd       `cmd:"" help:"The platform's append-only log."`
	Weights   weightsCmd   `cmd:"" help:"The platform's weight store."`
	Instances instancesCmd `cmd:"" help:"The platform's list of instances."`
}

type engineCmd struct {
	addresses
	engine.Config
}

// Run serves an engine.
func (c *engineCmd) Run(ctx context.Context) error {
	e, err := engine.New(c.Config)
	if err != nil {
		return err
	}
	return serve(ctx, c.addresses, e)
}

type serviceCmd struct {
	addresses
	service.Config
}

// Run serves a plain service.
func (c *serviceCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, service.New(c.Config))
}

type logCmd struct {
	addresses
	logsvc.Config
}

// Run serves a log.
func (c *logCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, logsvc.New(c.Config))
}

type weightsCmd struct {
	addresses
	weights.Config
}

// Run serves a weight store.
func (c *weightsCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, weights.New(c.Config))
}

type instancesCmd struct {
	addresses
	instances.Config
}

// Run serves an instance list.
func (c *instancesCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, instances.New(c.Config))
}

// standIn is what every stand-in offers.
type standIn interface {
	Handler() http.Handler
	Control() http.Handler
	Close()
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for tests and trials."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
