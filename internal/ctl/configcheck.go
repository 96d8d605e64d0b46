package ctl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/configcheck"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/settings"
)

// configCheckCmd checks a configuration before it is sent.
type configCheckCmd struct {
	File     string `arg:"" help:"Bundle file, YAML, or the users' platform's configuration record, JSON. A file that begins with a brace is a record."`
	Against  string `help:"File with the version in force, in the same format." placeholder:"FILE" xor:"inforce"`
	Store    string `help:"Address of the platform's store, from which the version in force is read." placeholder:"HOST:PORT" xor:"inforce"`
	Settings string `help:"Settings file of the daemons, which is compared with the configuration." placeholder:"FILE"`
	Format   string `help:"Output format: table or json." enum:"table,json" default:"table"`
}

// checkReport is the result of the command. Its JSON form is the output of --format json.
type checkReport struct {
	File     string                `json:"file"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	// Difference is nil if no version in force was given.
	Difference *difference `json:"difference"`
	// Unread lists what could not be read.
	Unread []string `json:"unread"`
	Exit   int      `json:"exit"`
}

// difference is the difference from the version in force.
type difference struct {
	// Known is false if the version in force, or the file, could not be read or decoded.
	Known bool `json:"known"`
	// Version is nil for a bundle file, which has no version number.
	Version *versionChange       `json:"version"`
	Changes []configcheck.Change `json:"changes"`
}

// versionChange compares the version numbers.
type versionChange struct {
	InForce uint64 `json:"in_force"`
	File    uint64 `json:"file"`
	Grows   bool   `json:"grows"`
}

// Run checks the file and prints the report.
func (c *configCheckCmd) Run(env *runEnv) error {
	report := &checkReport{File: c.File, Findings: []configcheck.Finding{}, Unread: []string{}}
	if c.Against != "" || c.Store != "" {
		report.Difference = &difference{Changes: []configcheck.Change{}}
	}
	raw, err := os.ReadFile(c.File)
	switch {
	case err != nil:
		report.unread(err)
	case isRecord(raw):
		c.checkRecord(env, raw, report)
	case c.Store != "":
		return usageError{errors.New("--store is for the platform's configuration; 'bundle diff in-force' reads the bundle in force")}
	default:
		c.checkBundle(report)
	}
	report.count()
	if err := c.print(env, report); err != nil {
		return err
	}
	if report.Exit == ExitOK {
		return nil
	}
	return codeError{errors.Errorf("%s: %s", c.File, report.summary()), report.Exit}
}

// isRecord reports whether a file is a configuration record, not a bundle file.
func isRecord(raw []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) }

// checkRecord checks a configuration record of the users' platform.
func (c *configCheckCmd) checkRecord(env *runEnv, raw []byte, report *checkReport) {
	config, problems := platform.InspectConfig(raw)
	for _, p := range problems {
		f := configcheck.Finding{Severity: configcheck.Warning, Code: "not-as-written", Path: p.Path, Line: p.Line, Text: p.Text}
		if config == nil {
			f.Severity, f.Code = configcheck.Error, "undecodable"
		}
		report.Findings = append(report.Findings, f)
	}
	if config != nil {
		report.addFleet(configcheck.Fleet(config))
	}
	if c.Settings != "" {
		s, err := settings.LoadAttached(c.Settings)
		if report.settingsRead(err) && config != nil {
			report.addFleet(configcheck.FleetSettings(config, s))
		}
	}
	if report.Difference == nil {
		return
	}
	inForce, err := c.recordInForce(env)
	if err != nil {
		report.unread(err)
		return
	}
	if config == nil {
		return
	}
	d := report.Difference
	d.Known, d.Version = true, &versionChange{InForce: inForce.Version, File: config.Version, Grows: config.Version > inForce.Version}
	for _, change := range configcheck.DiffFleet(inForce, config) {
		change.Entry = platform.ConfigPath(change.Entry)
		for i := range change.Fields {
			change.Fields[i].Name = platform.ConfigPath(change.Fields[i].Name)
		}
		d.Changes = append(d.Changes, change)
	}
	if !d.Version.Grows && len(d.Changes) > 0 {
		report.addFleet([]configcheck.Finding{{Severity: configcheck.Error, Code: "version-not-newer", Path: "Version", Text: fmt.Sprintf("version %d is not above %d, which is in force: the daemons ignore the configuration", config.Version, inForce.Version)}})
	}
}

// recordInForce reads the configuration in force from the file or the store.
func (c *configCheckCmd) recordInForce(env *runEnv) (*fleet.Config, error) {
	if c.Against != "" {
		raw, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, err
		}
		config, problems := platform.InspectConfig(raw)
		if config == nil {
			return nil, errors.Errorf("%s: %s", c.Against, problems[0].Text)
		}
		return config, nil
	}
	logger, err := telemetry.NewLogger(env.Stderr, "warn", telemetry.FormatText)
	if err != nil {
		return nil, err
	}
	batch, err := platform.NewStore(c.Store, env.HTTP, logger).Snapshot(env.ctx, fleet.FeedConfig)
	if err != nil {
		return nil, err
	}
	var newest *fleet.Config
	for _, change := range batch.Changes {
		if change.Config != nil {
			newest = change.Config
		}
	}
	if newest == nil {
		return nil, errors.New("the store has no configuration that can be decoded")
	}
	return newest, nil
}

// checkBundle checks a bundle file of the own interface.
func (c *configCheckCmd) checkBundle(report *checkReport) {
	b := new(bundle.Bundle)
	lines, err := readYAML(c.File, b)
	if err != nil {
		f := configcheck.Finding{Severity: configcheck.Error, Code: "undecodable", Text: err.Error()}
		var at *positionError
		if errors.As(err, &at) {
			f.Line, f.Text = at.line, at.text
		}
		report.Findings, b = append(report.Findings, f), nil
	} else {
		report.addBundle(lines, validationFindings(bundle.Validate(b)))
		report.addBundle(lines, configcheck.Bundle(b))
	}
	if c.Settings != "" {
		s, err := settings.Load(c.Settings)
		if report.settingsRead(err) && b != nil {
			report.addBundle(lines, configcheck.BundleSettings(b, s))
		}
	}
	if report.Difference == nil {
		return
	}
	inForce, err := readBundle(c.Against)
	if err != nil {
		report.unread(err)
		return
	}
	if b == nil {
		return
	}
	report.Difference.Known = true
	for _, op := range bundle.Diff(inForce, b).Ops {
		var before, after any
		if v, ok := lookup(inForce, op); ok {
			before = v
		}
		if op.Action != bundle.Remove {
			after = newValue(op)
		}
		change, _ := configcheck.Compare(entryPath(op), before, after)
		report.Difference.Changes = append(report.Difference.Changes, change)
	}
}

// entryPath returns the path of the entry of an operation in a bundle file, such as pools[a].
func entryPath(op bundle.Op) string {
	switch op.Section {
	case bundle.SectionPolicy:
		return string(op.Section)
	case bundle.SectionClass:
		return "classes[" + op.Name + "]"
	}
	return string(op.Section) + "s[" + op.Name + "]"
}

// validationFindings returns the problems of an error of bundle.Validate as findings.
func validationFindings(err error) []configcheck.Finding {
	var invalid *bundle.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	out := make([]configcheck.Finding, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		out = append(out, configcheck.Finding{Severity: configcheck.Error, Code: "refused", Path: p.Path, Text: p.Text})
	}
	return out
}

// unread records that something could not be read.
func (r *checkReport) unread(err error) { r.Unread = append(r.Unread, err.Error()) }

// settingsRead records the error of loading a settings file and reports whether there is none.
func (r *checkReport) settingsRead(err error) bool {
	var invalid *settings.Error
	switch {
	case errors.As(err, &invalid):
		file := filepath.Base(invalid.File)
		r.Findings = append(r.Findings, configcheck.Finding{Severity: configcheck.Error, Code: "settings-refused", Path: strings.TrimSuffix(file+": "+invalid.Key, ": "), Line: invalid.Line, Text: invalid.Reason})
	case err != nil:
		r.unread(err)
	}
	return err == nil
}

// addFleet adds findings with paths of fleet.Config.
func (r *checkReport) addFleet(list []configcheck.Finding) {
	for _, f := range list {
		f.Path = platform.ConfigPath(f.Path)
		r.Findings = append(r.Findings, f)
	}
}

// addBundle adds findings of a bundle file and sets their lines.
func (r *checkReport) addBundle(lines lineNumbers, list []configcheck.Finding) {
	for _, f := range list {
		f.Line = lines.nearest(f.Path)
		r.Findings = append(r.Findings, f)
	}
}

// count sets the numbers of findings and the exit code, and puts the errors before the warnings.
func (r *checkReport) count() {
	slices.SortStableFunc(r.Findings, func(a, b configcheck.Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	r.Errors, r.Warnings = configcheck.Count(r.Findings)
	switch {
	case len(r.Unread) > 0:
		r.Exit = ExitUnread
	case r.Errors > 0:
		r.Exit = ExitErrors
	case r.Warnings > 0:
		r.Exit = ExitWarnings
	}
}

// summary returns the result in a few words.
func (r *checkReport) summary() string {
	s := fmt.Sprintf("errors: %d, warnings: %d", r.Errors, r.Warnings)
	if d := r.Difference; d != nil && d.Known {
		s += fmt.Sprintf(", entries that differ: %d", len(d.Changes))
	} else if d != nil {
		s += ", difference unknown"
	}
	for _, text := range r.Unread {
		s += "; could not read: " + text
	}
	return s
}

// print prints the report in the selected format.
func (c *configCheckCmd) print(env *runEnv, r *checkReport) error {
	if c.Format == "json" {
		enc := json.NewEncoder(env.Stdout)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(r))
	}
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RESULT\tCODE\tPLACE\tTEXT")
	if r.Exit == ExitOK {
		fmt.Fprintln(w, "ok\t-\t-\tno findings")
	}
	for _, f := range r.Findings {
		place := f.Path
		if f.Line > 0 {
			place = strings.TrimSpace(fmt.Sprintf("%s line %d", f.Path, f.Line))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Severity, f.Code, place, strings.ReplaceAll(f.Text, "\n", " "))
	}
	if d := r.Difference; d != nil {
		d.printRows(w)
	}
	for _, text := range r.Unread {
		fmt.Fprintf(w, "unread\t-\t-\t%s\n", text)
	}
	return errors.WithStack(w.Flush())
}

// printRows prints a row for the version, each field that differs, and each entry that was added or removed.
func (d *difference) printRows(w *tabwriter.Writer) {
	if !d.Known {
		fmt.Fprintln(w, "unknown\tdifference\t-\tthe difference from the version in force is unknown")
	}
	if v := d.Version; v != nil {
		fmt.Fprintf(w, "version\tdifference\tversion\t%d -> %d\n", v.InForce, v.File)
	}
	for _, c := range d.Changes {
		if c.Action == configcheck.Changed {
			for _, f := range c.Fields {
				fmt.Fprintf(w, "%s\tdifference\t%s.%s\t%s -> %s\n", c.Action, c.Entry, f.Name, cmp.Or(f.Old, "(none)"), cmp.Or(f.New, "(none)"))
			}
			continue
		}
		fields := make([]string, 0, len(c.Fields))
		for _, f := range c.Fields {
			fields = append(fields, f.Name+"="+f.Old+f.New) // one of them is empty
		}
		fmt.Fprintf(w, "%s\tdifference\t%s\t%s\n", c.Action, c.Entry, strings.Join(fields, ", "))
	}
}
