package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// explainCmd prints what the daemons logged about one request.
type explainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of all instances; without any, standard input is read."`
}

// logLine is a line of a daemon's log.
type logLine struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`

	// source is the last word before the JSON object, usually the host that a log
	// collector adds, or the file name if there is none.
	source string
	// sortTime is the latest timestamp among the selected lines of the file up to this
	// one. It differs from Timestamp if the instance's clock stepped back.
	sortTime time.Time
}

// Run prints the log lines about a request in order of time. It adds the lines
// about other attempts of the same request, which have other ids but the same digest. They
// show, for example, which upstreams crashed while running it. The clocks of the instances
// may differ, so each line shows its source, and the lines of a file keep their order.
func (c *explainCmd) Run(env *runEnv) error {
	lines, err := c.findLines("request", c.ID)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line about request %s", c.ID)
	}
	others, err := c.otherAttempts(lines)
	if err != nil {
		return err
	}
	return writeTimeline(env.Stdout, append(lines, others...))
}

// otherAttempts returns the lines about other request ids that have the same digest as
// one of lines. It returns none if the log comes from standard input, which cannot be read
// twice.
func (c *explainCmd) otherAttempts(lines []logLine) (out []logLine, err error) {
	seen := map[string]bool{}
	for _, l := range lines {
		digest, ok := l.Fields["digest"].(string)
		if !ok || seen[digest] || len(c.Files) == 0 {
			continue
		}
		seen[digest] = true
		found, err := c.findLines("digest", digest)
		if err != nil {
			return nil, err
		}
		for _, l := range found {
			if l.Fields["request"] != c.ID {
				l.Fields["other_request"] = l.Fields["request"] // formatFields omits the field request
				out = append(out, l)
			}
		}
	}
	return out, nil
}

// findLines returns the lines of all files, or of standard input, in which a field has a
// value.
func (c *explainCmd) findLines(field, value string) (lines []logLine, err error) {
	if len(c.Files) == 0 {
		return matchingLines(os.Stdin, "stdin", field, value)
	}
	for _, name := range c.Files {
		found, err := matchingFileLines(name, field, value)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// matchingFileLines returns the matchingLines of a file.
func matchingFileLines(name, field, value string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	return matchingLines(f, name, field, value)
}

// matchingLines returns the lines in which a field has a value. It ignores lines that are
// not JSON objects. Text before the object, such as the time and host that a log collector
// adds, is skipped.
func matchingLines(r io.Reader, source, field, value string) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	wanted := []byte(value)
	var latest time.Time
	for s.Scan() {
		raw := s.Bytes()
		brace := bytes.IndexByte(raw, '{')
		if brace < 0 || !bytes.Contains(raw, wanted) {
			continue
		}
		line := logLine{source: source}
		if json.Unmarshal(raw[brace:], &line) != nil || line.Fields[field] != value {
			continue
		}
		if line.Timestamp.After(latest) {
			latest = line.Timestamp
		}
		line.sortTime = latest
		if prefix := strings.Fields(string(raw[:brace])); len(prefix) > 0 {
			line.source = prefix[len(prefix)-1]
		}
		out = append(out, line)
	}
	return out, errors.Wrapf(s.Err(), "read %s", source)
}

// writeTimeline prints the lines in order of time, each with the milliseconds since the
// first one.
func writeTimeline(w io.Writer, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.sortTime.Compare(b.sortTime) })
	first := lines[0].Timestamp
	for _, l := range lines {
		step, ok := l.Fields["step"].(string)
		if !ok {
			step = l.Message // a message without a step, such as retry or verdict
		}
		ms := float64(l.Timestamp.Sub(first).Microseconds()) / 1000
		if _, err := fmt.Fprintf(w, "%9.1f ms  %s  %-8s %s\n", ms, l.source, step, formatFields(l)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// formatFields returns the fields with a nonempty, nonzero value as name=value, sorted by
// name. request and step are omitted, because they are known or printed separately.
func formatFields(l logLine) string {
	var out []string
	for name, v := range l.Fields {
		text := fmt.Sprint(v)
		if name == "request" || name == "step" || text == "" || text == "0" {
			continue
		}
		out = append(out, name+"="+text)
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
