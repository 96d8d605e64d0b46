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

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

type explainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of all instances; none reads standard input."`
}

// logLine is one line of a daemon's log.
type logLine struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`

	source string
	// sorted is the line's time, or that of the line before it in its file where the
	// clock stepped back.
	sorted time.Time
}

// Run prints what the daemons decided about one request, in order of time. Clocks of
// instances may differ: the lines of one file keep their order, and files are told
// apart by name.
func (c *explainCmd) Run(env *runEnv) error {
	var lines []logLine
	if len(c.Files) == 0 {
		found, err := linesOf(os.Stdin, "stdin", c.ID)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range c.Files {
		found, err := fileLines(name, c.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line about request %s", c.ID)
	}
	return writeStory(env.Stdout, lines)
}

func fileLines(name, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	return linesOf(f, name, id)
}

// linesOf returns the lines about a request. What stands before the first brace of a
// line, such as a collector's time and host, is passed over, and so are lines that are
// no JSON.
func linesOf(r io.Reader, source, id string) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	wanted := []byte(id)
	var last time.Time
	for s.Scan() {
		raw := s.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 || !bytes.Contains(raw, wanted) {
			continue
		}
		line := logLine{source: source}
		if json.Unmarshal(raw[at:], &line) != nil || line.Fields["request"] != id {
			continue
		}
		if line.Timestamp.After(last) {
			last = line.Timestamp
		}
		line.sorted = last
		if prefix := strings.Fields(string(raw[:at])); len(prefix) > 0 {
			line.source = prefix[len(prefix)-1]
		}
		out = append(out, line)
	}
	return out, errors.Wrapf(s.Err(), "read %s", source)
}

// writeStory prints one line a decision, with the time since the first one.
func writeStory(w io.Writer, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.sorted.Compare(b.sorted) })
	first := lines[0].Timestamp
	for _, l := range lines {
		step, ok := l.Fields["step"].(string)
		if !ok {
			step = l.Message // a retry or a verdict
		}
		ms := float64(l.Timestamp.Sub(first).Microseconds()) / 1000
		if _, err := fmt.Fprintf(w, "%9.1f ms  %s  %-8s %s\n", ms, l.source, step, details(l)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// details lists the fields that say something, in order of their names.
func details(l logLine) string {
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
