// Command soak runs seeded faults against real daemons on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/soak"
)

type cli struct {
	Bin     string        `required:"" type:"existingfile" help:"The corianderturn program."`
	Out     string        `default:"out/soak" help:"Folder for settings and logs, one folder a seed."`
	Seed    uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"1" help:"How many seeds, one after the other."`
	Length  time.Duration `default:"8s" help:"How long faults come in each run."`
	Daemons int           `default:"3" help:"Daemons, each a process."`
	Callers int           `default:"12" help:"Callers that ask at once."`
	Fatal   bool          `help:"Add callers that repeat requests which end each upstream that runs them."`
	Teams   bool          `help:"Give callers keys, and one team more callers than its limit bears."`
	Limits  bool          `help:"Let upstreams name rate limits; give it --length 16s."`
	Herd    bool          `help:"Add series in which a service refuses and all daemons are killed."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("soak"), kong.Description("Seeded faults against real daemons on loopback."))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func (c *cli) run() error {
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		dir := filepath.Join(c.Out, fmt.Sprint(seed))
		const mode = 0o755
		if err := os.MkdirAll(dir, mode); err != nil {
			return errors.WithStack(err)
		}
		r, err := soak.Run(context.Background(), soak.Options{Bin: c.Bin, Dir: dir, Seed: seed, Length: c.Length, Daemons: c.Daemons, Callers: c.Callers, Herd: c.Herd, Fatal: c.Fatal, Teams: c.Teams, Limits: c.Limits})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Printf("seed %d: asked %d whole %d refused %d failed %d broken %d violations %d\n",
			seed, r.Asked, r.Whole, r.Refused, r.Failed, r.Broken, len(r.Violations))
		if len(r.Violations) == 0 {
			continue
		}
		failed++
		for _, v := range r.Violations {
			fmt.Println("  ", v)
		}
		for _, f := range r.Schedule {
			fmt.Println("     ", f)
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", failed, c.Seeds)
	}
	return nil
}
