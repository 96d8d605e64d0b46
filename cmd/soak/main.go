// Command soak tests real daemon processes on loopback under faults that are injected by a seeded
// schedule.
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
	Bin          string        `required:"" type:"existingfile" help:"Path of the corianderturn program."`
	Out          string        `default:"out/soak" help:"Directory for settings and logs, with one subdirectory for each seed."`
	Seed         uint64        `default:"1" help:"The first seed."`
	Seeds        int           `default:"1" help:"Number of seeds to run, one after the other."`
	Length       time.Duration `default:"8s" help:"Duration of fault injection in each run."`
	Daemons      int           `default:"3" help:"Number of daemon processes."`
	Callers      int           `default:"12" help:"Number of concurrent callers."`
	Fatal        bool          `help:"Add callers that repeat fatal requests, which crash every upstream that runs them."`
	Teams        bool          `help:"Give callers the API keys of two teams, one of which exceeds its quota."`
	Limits       bool          `help:"Make upstreams report rate limits; use with --length 16s."`
	Links        bool          `help:"Make daemons lose their links to all upstreams; use with --length 12s."`
	Upgrade      bool          `help:"Restart engines at several software versions, and add callers that take streams up; use with --length 12s."`
	StaleDaemons bool          `help:"With --upgrade, pause daemons as engines restart, and add callers that do not name the try that began their stream."`
	Parts        bool          `help:"Add callers whose prompts have a part that crashes every engine; use with --length 16s."`
	Endless      bool          `help:"Add faults of upstreams whose answers have no end."`
	Unframed     bool          `help:"Add faults of upstreams whose answers end with their connection."`
	Answers      bool          `help:"Add faults of upstreams that send answers twice or in part."`
	Copies       float64       `help:"Share of answers that all upstreams send again, late, during the whole run."`
	Rejects      float64       `default:"0.45" help:"Share of requests that upstreams reject; use with --rejecting."`
	Rejecting    string        `help:"Which upstreams of each kind reject requests: all, one or turns (one after the other)." enum:",all,one,turns" default:""`
	Attempts     int           `help:"max_attempts of the route of orders."`
	Replicas     int           `help:"Number of replicas of the plain service."`
	Skew         bool          `help:"Add callers that send most new connections to one daemon at a time; use with --callers 40."`
	Silences     bool          `help:"Make sound upstreams silent for up to 2.5 s, accompanied by planned work; use with --length 12s."`
	Planned      bool          `help:"Leave out the independent faults; use with --silences or --copies."`
	States       bool          `help:"Make upstreams say that they leave or ask for rest, beside lapses and outages of the store; use with --length 12s."`
	Restores     bool          `help:"Restore the store from copies some seconds old, with what comes over it; use with --daemons 12 --length 21s."`
	Herd         bool          `help:"Add correlated faults: all upstreams of a service reject requests while all daemons are killed and restarted."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("soak"), kong.Description("Tests real daemons on loopback under faults from a seeded schedule."))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// copies returns the standing faults of upstreams.
func (c *cli) copies() soak.Copies {
	if c.Copies == 0 && c.Rejecting == "" {
		return soak.Copies{}
	}
	return soak.Copies{Share: c.Copies, Rejections: c.Rejects, Rejecting: soak.Rejecting(c.Rejecting)}
}

func (c *cli) run() error {
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		dir := filepath.Join(c.Out, fmt.Sprint(seed))
		const mode = 0o755
		if err := os.MkdirAll(dir, mode); err != nil {
			return errors.WithStack(err)
		}
		r, err := soak.Run(context.Background(), c.options(dir, seed))
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Printf("seed %d: asked %d whole %d refused %d failed %d broken %d violations %d\n",
			seed, r.Requests, r.Answered, r.Refused, r.Failed, r.CutOff, len(r.Violations))
		fmt.Printf("  refused and ran: %v, ran twice: %v\n", r.RefusedAndRan, r.RanTwice)
		if s := r.Streams; c.Upgrade {
			fmt.Printf("  streams began %d of %d, went on %d of %d, refused %d; without a name %d of %d\n", s.Began, s.BeganOf, s.WentOn, s.TakenUp, s.Refused, s.NamelessWentOn, s.NamelessTakenUp)
		}
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
		return errors.Errorf("%d of %d seeds violated a guarantee", failed, c.Seeds)
	}
	return nil
}

// options returns the options of the run of a seed, whose files go to a directory.
func (c *cli) options(dir string, seed uint64) soak.Options {
	return soak.Options{
		Bin:              c.Bin,
		Dir:              dir,
		Seed:             seed,
		FaultDuration:    c.Length,
		Daemons:          c.Daemons,
		Callers:          c.Callers,
		CorrelatedFaults: c.Herd,
		FatalRequests:    c.Fatal,
		Teams:            c.Teams,
		RateLimits:       c.Limits,
		Links:            c.Links,
		Versions:         c.Upgrade,
		FatalParts:       c.Parts,
		Endless:          c.Endless,
		Unframed:         c.Unframed,
		Answers:          c.Answers,
		Skew:             c.Skew,
		Silences:         c.Silences,
		Planned:          c.Planned,
		Statements:       c.States,
		Restores:         c.Restores,
		Copies:           c.copies(),
		OrderAttempts:    c.Attempts,
		Replicas:         c.Replicas,
		StaleDaemons:     c.StaleDaemons,
	}
}
