package main

import (
	"context"
	"os"

	"github.com/corianderturn/corianderturn/internal/demo"
)

// demoCmd implements the command `loadgen demo`.
type demoCmd struct {
	Bin  string `help:"Directory of the compiled programs." default:"bin" type:"existingdir"`
	Seed uint64 `help:"Seed of the requests and their arrival times." default:"1"`
}

// Run is called by kong to run the command.
func (c *demoCmd) Run(ctx context.Context) error {
	return demo.Run(ctx, demo.Options{Bin: c.Bin, Out: os.Stdout, Seed: c.Seed})
}
