package main

import (
	"context"
	"os"

	"github.com/corianderturn/corianderturn/internal/demo"
)

// demoCmd is `loadgen demo`.
type demoCmd struct {
	Bin  string `help:"Folder with the programs." default:"bin" type:"existingdir"`
	Seed uint64 `help:"Seed of the requests and their times." default:"1"`
}

// Run implements kong's command.
func (c *demoCmd) Run(ctx context.Context) error {
	return demo.Run(ctx, demo.Options{Bin: c.Bin, Out: os.Stdout, Seed: c.Seed})
}
