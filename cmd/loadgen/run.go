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

// runCmd implements the command `loadgen run`.
type runCmd struct {
	Daemon      []string          `help:"Base URLs of the daemons, used in rotation." required:"" placeholder:"URL"`
	Team        map[string]string `help:"Teams and their API keys, which are sent as bearer tokens." required:"" placeholder:"NAME=KEY"`
	Model       string            `help:"Model of the completions." default:"drafter"`
	Adapter     []string          `help:"Adapters to choose from at random; none when empty."`
	Service     string            `help:"Plain service that receives the look-ups and submissions." default:"portal"`
	LookupPath  string            `help:"Path of a look-up, relative to the service." default:"/status"`
	SubmitPath  string            `help:"Path of a non-idempotent call, relative to the service." default:"/submit"`
	Rate        float64           `help:"Mean arrivals per second." default:"20"`
	Duration    time.Duration     `help:"Duration for which requests are sent." default:"10s"`
	Warmup      time.Duration     `help:"Initial part of the duration that is excluded from latencies and goodput." default:"0s"`
	MaxRequests int               `help:"Maximum number of requests; 0 means that only the duration limits them." default:"0"`
	MaxInFlight int               `help:"Maximum number of concurrent requests; arrivals above it are dropped and counted." default:"512"`
	Timeout     time.Duration     `help:"Deadline of one request." default:"60s"`
	Replay      bool              `help:"Retry a POST on another daemon if the connection breaks before an answer, as load balancers do."`
	Seed        uint64            `help:"Seed of arrivals and requests." default:"1"`
	Name        string            `help:"Name of the run, which is part of idempotency keys and prompts; the start time when empty."`
	Lookups     float64           `help:"Fraction of requests that are look-ups." default:"0.45"`
	Submits     float64           `help:"Fraction of requests that are non-idempotent calls." default:"0.05"`
	Shorts      float64           `help:"Fraction of requests that are urgent short completions." default:"0.2"`
	Drafts      float64           `help:"Fraction of requests that are drafts." default:"0.3"`
	Control     []string          `help:"Base URLs of the control listeners of plain-service stand-ins, to check that no idempotency key was executed twice." placeholder:"URL"`
	JSON        string            `help:"File to write the report to, as JSON." type:"path" placeholder:"FILE"`
	UrgentFirst time.Duration     `help:"Target time to first token for the urgent class." default:"970ms"`
	DraftFirst  time.Duration     `help:"Target time to first token for drafts." default:"5s"`
	Between     time.Duration     `help:"Target time between tokens for both classes." default:"57ms"`
}

// Run is called by kong to run the command. It returns an error if the daemons
// violated a guarantee.
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
	if !rep.Passed() {
		return errors.New("the daemons violated a guarantee, see the outcomes above")
	}
	return nil
}

func (c *runCmd) options() loadgen.Options {
	w := loadgen.DefaultWorkload()
	w.Rate = c.Rate
	w.Mix = loadgen.Mix{Lookup: c.Lookups, Submit: c.Submits, Short: c.Shorts, Draft: c.Drafts}
	w.Teams = loadgen.TeamsFromKeys(c.Team)
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
