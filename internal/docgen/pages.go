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
	p := newPage("Settings", "The daemon reads one YAML file at its start. An unknown key or an invalid value is an error that\n"+
		"states the file, the line, the key and what is allowed. `corianderturn check FILE` checks a file and\n"+
		"`corianderturn --print-defaults` prints every key with its default.")
	settingsTables(p, "##", settings.Fields())
	fmt.Fprintf(p, "\n# Settings of an attached daemon\n\nThe settings file of `corianderturn attach`. `corianderturn check --attached FILE` checks it.\n"+
		"Changes of `retries`, `hedging` and `drain.grace` take effect while the daemon runs, those of other keys at its next start.\n")
	settingsTables(p, "##", settings.AttachedFields())
	return p.Bytes()
}

// settingsTables writes a heading and a table for each section.
func settingsTables(p *page, heading string, fields []settings.Field) {
	for _, f := range fields {
		if f.Section {
			fmt.Fprintf(p, "\n%s `%s`\n\n%s.\n", heading, f.Key, capitalize(f.Doc))
			p.table("key", "default", "unit", "meaning")
			continue
		}
		doc := f.Doc
		if len(f.Allowed) > 0 {
			doc += "; one of " + codeSpans(f.Allowed)
		}
		p.row(codeSpan(f.Key), codeSpan(f.Default), f.Unit, doc)
	}
}

func errorsPage() []byte {
	p := newPage("Errors", "A request that fails is answered with a problem document (RFC 9457, type\n"+
		"`application/problem+json`) with the members `type`, `title`, `status`, `detail`, `kind`, `run`,\n"+
		"`retryable`, `retry_after_ms` and `request_id`. A stream that has begun ends in an event of type\n"+
		"`error` with the same document, and never in `[DONE]`.\n\n"+
		"`run` is the run state, which states whether the request ran upstream: `not-run` guarantees that it\n"+
		"did not, `unknown` means that it may have, `ran` that it did. The table lists the defaults of each\n"+
		"kind; the run state and the retry delay in an answer can differ from them.")
	p.table("kind", "status", "run", "retryable", "retry after", "meaning")
	for _, k := range errkind.Kinds() {
		row, _ := errkind.Lookup(k)
		after := ""
		if row.RetryAfter > 0 {
			after = row.RetryAfter.String()
		}
		p.row(codeSpan(string(k)), strconv.Itoa(row.Status), codeSpan(string(row.Run)), yesNo(row.Retryable), after, row.Title)
	}
	return p.Bytes()
}

func logsPage() []byte {
	p := newPage("Logs", "A daemon writes one line to standard output for each decision about a request and each change of the daemon's state.\n"+
		"With `log.format: json` a line is an object with `timestamp`, `level`, `message` and `fields`. The field `error`\n"+
		"holds an error and `source` the place in the code where it occurred. `serve` and `attach` log requests with the same\n"+
		"messages. At most 200 lines with the same message are written per second; `log lines left out` counts the others by\n"+
		"message. A slow reader never blocks the daemon. [OPERATIONS.md](OPERATIONS.md) describes how to trace a failed request.")
	p.table("message", "level", "when", "fields")
	for _, e := range telemetry.LogEvents() {
		p.row(codeSpan(e.Message), e.Level, e.When, codeSpans(strings.FieldsFunc(e.Fields, func(r rune) bool { return r == ',' || r == ' ' })))
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
	p := newPage("Metrics", "The callers' listener serves these metrics at `/metrics` in the Prometheus text format. The values\n"+
		"of labels are from fixed sets: classes, error kinds and terms of the policy.")
	p.table("name", "type", "unit", "labels", "meaning")
	for _, d := range m.Definitions() {
		p.row(codeSpan(d.Name), d.Type, d.Unit, codeSpans(d.Labels), d.Doc)
	}
	return p.Bytes(), nil
}

// addWatcherMetrics registers the metrics of package watch by creating a watcher, which is never
// run.
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
	p := newPage("Commands", "The programs that run in production. `--help` prints the same texts.")
	for _, app := range []*kong.Application{k.Model, operators} {
		fmt.Fprintf(p, "\n## `%s`\n\n%s\n", app.Name, app.Help)
		p.flags(app.Flags)
		for _, leaf := range app.Leaves(true) {
			p.command(leaf)
		}
	}
	return p.Bytes(), nil
}

// command writes the usage, the arguments and the flags of a command.
func (p *page) command(n *kong.Node) {
	usage := n.FullPath()
	for _, a := range n.Positional {
		usage += " " + a.Summary()
	}
	fmt.Fprintf(p, "\n### `%s`\n\n%s\n", usage, n.Help)
	if len(n.Positional) > 0 {
		p.table("argument", "meaning")
		for _, a := range n.Positional {
			p.row(codeSpan(a.Summary()), a.Help)
		}
	}
	p.flags(n.Flags)
}

// flags writes a table of flags, or nothing if there are none.
func (p *page) flags(flags []*kong.Flag) {
	hasHeader := false
	for _, f := range flags {
		if f.Hidden || f.Name == "help" {
			continue
		}
		if !hasHeader {
			p.table("flag", "default", "environment", "meaning")
			hasHeader = true
		}
		doc := f.Help
		if f.Required {
			doc += " Required."
		}
		p.row(codeSpan("--"+f.Name), codeSpan(f.Default), codeSpans(f.Envs), doc)
	}
}

// capitalize returns s with its first letter in upper case.
func capitalize(s string) string { return strings.ToUpper(s[:1]) + s[1:] }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
