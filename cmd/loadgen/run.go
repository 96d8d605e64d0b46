package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// runCmd is `loadgen run`.
type runCmd struct {
	Daemon      []string          `help:"Base URLs of the daemons, in turn." required:"" placeholder:"URL"`
	Team        map[string]string `help:"Teams with their bearer keys." required:"" placeholder:"NAME=KEY"`
	Model       string            `help:"Model of the completions." default:"drafter"`
	Adapter     []string          `help:"Adapters to draw from; none when empty."`
	Service     string            `help:"Plain service of the look-ups and submissions." default:"portal"`
	LookupPath  string            `help:"Path of a look-up below the service." default:"/status"`
	SubmitPath  string            `help:"Path of a non-idempotent call below the service." default:"/submit"`
	Rate        float64           `help:"Mean arrivals per second." default:"20"`
	Duration    time.Duration     `help:"How long requests arrive." default:"10s"`
	Warmup      time.Duration     `help:"Part of the duration left out of latencies and goodput." default:"0s"`
	MaxRequests int               `help:"Bound of requests; 0 means none but the duration." default:"0"`
	MaxInFlight int               `help:"Bound of requests at once; arrivals above it are dropped and counted." default:"512"`
	Timeout     time.Duration     `help:"Deadline of one request." default:"60s"`
	Replay      bool              `help:"Send a POST to another daemon when the connection broke before an answer, as balancers do."`
	Seed        uint64            `help:"Seed of arrivals and requests." default:"1"`
	Name        string            `help:"Name of the run, part of keys and prompts; the start time when empty."`
	Lookups     float64           `help:"Share of look-ups." default:"0.45"`
	Submits     float64           `help:"Share of non-idempotent calls." default:"0.05"`
	Shorts      float64           `help:"Share of urgent short completions." default:"0.2"`
	Drafts      float64           `help:"Share of drafts." default:"0.3"`
	Control     []string          `help:"Base URLs of plain-service stand-ins' control listeners, to check that no key ran twice." placeholder:"URL"`
	JSON        string            `help:"File for the report as JSON." type:"path" placeholder:"FILE"`
	UrgentFirst time.Duration     `help:"First-token target of the urgent class." default:"970ms"`
	DraftFirst  time.Duration     `help:"First-token target of drafts." default:"5s"`
	Between     time.Duration     `help:"Between-tokens target of both classes." default:"57ms"`
}

// Run implements kong's command.
func (c *runCmd) Run(ctx context.Context) error {
	rep, err := loadgen.Run(ctx, c.options())
	if err != nil {
		return err
	}
	if err := rep.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, rep); err != nil {
			return err
		}
	}
	if !rep.Held() {
		return errors.New("a promise was broken")
	}
	return nil
}

func (c *runCmd) options() loadgen.Options {
	w := loadgen.DefaultWorkload()
	w.Rate = c.Rate
	w.Mix = loadgen.Mix{Lookup: c.Lookups, Submit: c.Submits, Short: c.Shorts, Draft: c.Drafts}
	w.Teams = loadgen.TeamsOf(c.Team)
	w.Model, w.Adapters = c.Model, c.Adapter
	w.Service, w.LookupPath, w.SubmitPath = c.Service, c.LookupPath, c.SubmitPath
	name := c.Name
	if name == "" {
		name = "run" + time.Now().UTC().Format("20060102T150405")
	}
	daemons := make([]string, len(c.Daemon))
	for i, d := range c.Daemon {
		daemons[i] = strings.TrimSuffix(d, "/")
	}
	o := loadgen.Options{
		Daemons: daemons, Workload: w, Name: name, Seed: c.Seed, Duration: c.Duration, Warmup: c.Warmup,
		MaxRequests: c.MaxRequests, MaxInFlight: c.MaxInFlight, Timeout: c.Timeout, Replay: c.Replay,
		Targets: loadgen.Targets{
			Urgent: loadgen.Target{FirstToken: c.UrgentFirst, BetweenTokens: c.Between},
			Draft:  loadgen.Target{FirstToken: c.DraftFirst, BetweenTokens: c.Between},
		},
	}
	if len(c.Control) > 0 {
		o.Executions = loadgen.ServiceExecutions(http.DefaultClient, c.Control)
	}
	return o
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
