package docgen

import (
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/bundle/watch"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/ctl"
	"github.com/corianderturn/corianderturn/internal/daemon"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/settings"
)

func settingsPage() []byte {
	p := newPage("Settings", "The daemon reads one YAML file at its start. An unknown or wrong key is refused with\n"+
		"its file, line, name and what is allowed. `corianderturn check FILE` checks a file and\n"+
		"`corianderturn --print-defaults` prints every key at its default.")
	settingsTables(p, "##", settings.Fields())
	fmt.Fprintf(p, "\n# Settings of an attached daemon\n\nThe file of `corianderturn attach`. `corianderturn check --attached FILE` checks one.\n"+
		"`retries` and `drain.grace` follow a change of the file while the daemon runs; the rest holds from the next start.\n")
	settingsTables(p, "##", settings.AttachedFields())
	return p.Bytes()
}

func settingsTables(p *page, heading string, fields []settings.Field) {
	for _, f := range fields {
		if f.Section {
			fmt.Fprintf(p, "\n%s `%s`\n\n%s.\n", heading, f.Key, sentence(f.Doc))
			p.table("key", "default", "unit", "meaning")
			continue
		}
		doc := f.Doc
		if len(f.Allowed) > 0 {
			doc += "; one of " + codes(f.Allowed)
		}
		p.row(code(f.Key), code(f.Default), f.Unit, doc)
	}
}

func errorsPage() []byte {
	p := newPage("Errors", "Every request that is not answered with a result gets a problem document (RFC 9457, type\n"+
		"`application/problem+json`) with the members `type`, `title`, `status`, `detail`, `kind`, `run`,\n"+
		"`retryable`, `retry_after_ms` and `request_id`. A stream that has begun ends in an event of type\n"+
		"`error` with the same document, and never in `[DONE]`.\n\n"+
		"`run` says whether the request ran upstream: `not-run` is a promise that it did not, `unknown`\n"+
		"says that it may have, `ran` that it did. The table gives what holds unless the request itself\n"+
		"knows better: the run state and the time to come back can differ in one answer.")
	p.table("kind", "status", "run", "retryable", "retry after", "meaning")
	for _, k := range errkind.Kinds() {
		row, _ := errkind.Lookup(k)
		after := ""
		if row.RetryAfter > 0 {
			after = row.RetryAfter.String()
		}
		p.row(code(string(k)), strconv.Itoa(row.Status), code(string(row.Run)), yesNo(row.Retryable), after, row.Title)
	}
	return p.Bytes()
}

func logsPage() []byte {
	p := newPage("Logs", "A daemon writes one line to standard output for each decision that touches a request or changes what it\n"+
		"believes. With `log.format: json` a line is an object with `timestamp`, `level`, `message` and `fields`. Both edges\n"+
		"use these messages; an error is the field `error`, and `source` beside it says where it arose. At most 200 lines of a\n"+
		"message are written in a second; `log lines left out` counts the others by message. Writing never waits for the\n"+
		"reader. [OPERATIONS.md](OPERATIONS.md) goes from a request's id to its cause with them.")
	p.table("message", "level", "when", "fields")
	for _, e := range telemetry.LogEvents() {
		p.row(code(e.Message), e.Level, e.When, codes(strings.FieldsFunc(e.Fields, func(r rune) bool { return r == ',' || r == ' ' })))
	}
	return p.Bytes()
}

func metricsPage() ([]byte, error) {
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	if err := addWatcherMetrics(m); err != nil {
		return nil, err
	}
	p := newPage("Metrics", "The callers' listener shows these at `/metrics` in the Prometheus text format. Labels take\n"+
		"their values from closed lists: classes, error kinds, and words of the policy.")
	p.table("name", "type", "unit", "labels", "meaning")
	for _, d := range m.Definitions() {
		p.row(code(d.Name), d.Type, d.Unit, codes(d.Labels), d.Doc)
	}
	return p.Bytes(), nil
}

// addWatcherMetrics builds a watcher that is never run, for the instruments
// that it makes.
func addWatcherMetrics(m *telemetry.Metrics) error {
	anyKey := map[string]ed25519.PublicKey{"any": make(ed25519.PublicKey, ed25519.PublicKeySize)}
	_, err := watch.New(watch.Options{
		Log:   infra.NewLog("http://127.0.0.1:0", http.DefaultClient),
		Trust: bundle.Trust{Authors: anyKey, Reviewers: anyKey},
		Rand:  rand.New(rand.NewPCG(1, 1)),
		Meter: m.Meter(),
	})
	return errors.Wrap(err, "watch")
}

func commandsPage() ([]byte, error) {
	k, err := kong.New(&daemon.CLI{}, daemon.KongOptions()...)
	if err != nil {
		return nil, errors.Wrap(err, "corianderturn")
	}
	operators, err := ctl.Model()
	if err != nil {
		return nil, err
	}
	p := newPage("Commands", "The programs for production. `--help` prints the same.")
	for _, app := range []*kong.Application{k.Model, operators} {
		fmt.Fprintf(p, "\n## `%s`\n\n%s\n", app.Name, app.Help)
		p.flags(app.Flags)
		for _, leaf := range app.Leaves(true) {
			p.command(leaf)
		}
	}
	return p.Bytes(), nil
}

func (p *page) command(n *kong.Node) {
	usage := n.FullPath()
	for _, a := range n.Positional {
		usage += " " + a.Summary()
	}
	fmt.Fprintf(p, "\n### `%s`\n\n%s\n", usage, n.Help)
	if len(n.Positional) > 0 {
		p.table("argument", "meaning")
		for _, a := range n.Positional {
			p.row(code(a.Summary()), a.Help)
		}
	}
	p.flags(n.Flags)
}

func (p *page) flags(flags []*kong.Flag) {
	begun := false
	for _, f := range flags {
		if f.Hidden || f.Name == "help" {
			continue
		}
		if !begun {
			p.table("flag", "default", "environment", "meaning")
			begun = true
		}
		doc := f.Help
		if f.Required {
			doc += " Required."
		}
		p.row(code("--"+f.Name), code(f.Default), codes(f.Envs), doc)
	}
}

func sentence(s string) string { return strings.ToUpper(s[:1]) + s[1:] }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
