package ctl

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/quarantine"
)

// quarantineCmd lists requests and parts of prompts that have crashed upstreams, or removes one from
// quarantine.
type quarantineCmd struct {
	Store string `required:"" placeholder:"HOST:PORT" help:"Address of the platform's store."`
	Lift  string `placeholder:"DIGEST" help:"Remove the request or prompt part with this digest from quarantine on all daemons; its crashes up to now no longer count."`
}

// Run lists the requests with recorded crashes. With --lift it appends a record that
// removes a request from quarantine, for use when the fault is fixed.
func (c *quarantineCmd) Run(env *runEnv) error {
	logger, err := telemetry.NewLogger(env.Stderr, "warn", telemetry.FormatText)
	if err != nil {
		return err
	}
	crashLog := platform.NewQuarantineTopic(platform.NewStore(c.Store, env.HTTP, logger))
	now := env.Clock()
	if c.Lift == "" {
		return c.list(env, crashLog, now)
	}
	d, err := quarantine.ParseDigest(c.Lift)
	if err != nil {
		return err
	}
	if _, err := crashLog.Append(env.ctx, []quarantine.Record{quarantine.Lift(d, now)}); err != nil {
		return errors.Wrap(err, "lift the quarantine of a request")
	}
	_, err = fmt.Fprintf(env.Stdout, "%s: nothing is held against it\n", d)
	return errors.WithStack(err)
}

// list prints a row for each request and each part of prompts that has crashed upstreams. WITH are the
// other parts that a prompt must have to be refused.
func (c *quarantineCmd) list(env *runEnv, crashLog *platform.Topic[quarantine.Record], now time.Time) error {
	requests, err := readCrashes(env.ctx, crashLog, now)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DIGEST\tPART\tENDS\tLAST\tLAST UPSTREAM\tREFUSED\tWITH")
	for _, h := range requests {
		last := h.Crashes[len(h.Crashes)-1]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s ago\t%s\t%t\t%s\n", h.Digest, cmp.Or(h.Digest.PartID(), "-"), len(h.Crashes), now.Sub(last.At).Round(time.Second), last.Upstream, h.Refused, strings.Join(h.With, ","))
	}
	return errors.WithStack(w.Flush())
}

// readCrashes reads the whole quarantine log and returns the requests with their crashes.
func readCrashes(ctx context.Context, crashLog *platform.Topic[quarantine.Record], now time.Time) ([]quarantine.RequestCrashes, error) {
	l := quarantine.NewLedger()
	for next := (logpos.Position{}); ; {
		list, after, err := crashLog.Read(ctx, next, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read the quarantine log")
		}
		l.Apply(list)
		if after == next || len(list) == 0 {
			return l.List(now), nil
		}
		next = after
	}
}
