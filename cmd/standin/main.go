// Command standin runs a stand-in for an external system in tests: a model engine, a plain
// service, or the platform's log, weight store or instance list. It prints one line of JSON with
// its addresses when it is ready, and exits on SIGTERM.
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

// addresses holds the flags that all stand-ins have.
type addresses struct {
	Listen  string `help:"Address to serve on." default:"127.0.0.1:0"`
	Control string `help:"Address of the control API for fault injection; loopback only." default:"127.0.0.1:0"`
}

type cli struct {
	Engine    engineCmd    `cmd:"" help:"A model engine for prefill or decode."`
	Service   serviceCmd   `cmd:"" help:"A plain service."`
	Log       logCmd       `cmd:"" help:"The platform's append-only log."`
	Weights   weightsCmd   `cmd:"" help:"The platform's weight store."`
	Instances instancesCmd `cmd:"" help:"The platform's list of instances."`
}

type engineCmd struct {
	addresses
	engine.Config
}

// Run runs a model engine.
func (c *engineCmd) Run(ctx context.Context) error {
	e, err := engine.New(c.Config)
	if err != nil {
		return err
	}
	const crashed = 3
	e.OnFatal = func() { os.Exit(crashed) }
	return serve(ctx, c.addresses, e)
}

type serviceCmd struct {
	addresses
	service.Config
}

// Run runs a plain service.
func (c *serviceCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, service.New(c.Config))
}

type logCmd struct {
	addresses
	logsvc.Config
}

// Run runs the platform's log.
func (c *logCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, logsvc.New(c.Config))
}

type weightsCmd struct {
	addresses
	weights.Config
}

// Run runs the platform's weight store.
func (c *weightsCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, weights.New(c.Config))
}

type instancesCmd struct {
	addresses
	instances.Config
}

// Run runs the platform's instance list.
func (c *instancesCmd) Run(ctx context.Context) error {
	return serve(ctx, c.addresses, instances.New(c.Config))
}

// standIn is implemented by all stand-ins.
type standIn interface {
	// Handler serves the API of the system that is replaced.
	Handler() http.Handler
	// Control serves the API for fault injection.
	Control() http.Handler
	Close()
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for external systems in tests."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
