package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
)

type accountCmd struct {
	Files []string      `arg:"" optional:"" type:"existingfile" help:"Log files of all instances; none reads standard input."`
	Every time.Duration `help:"Also count by moments of this length." placeholder:"DURATION"`
}

// accountLine is what the account reads of a line.
type accountLine struct {
	Message   string    `json:"message"`
	Timestamp time.Time `json:"timestamp"`
	Fields    struct {
		Request  string `json:"request"`
		Class    string `json:"class"`
		Step     string `json:"step"`
		Reason   string `json:"reason"`
		Upstream string `json:"upstream"`
		Team     string `json:"team"`
		predictions
	} `json:"fields"`
}

// predictions are the figures of a verdict line, each beside its prediction.
type predictions struct {
	FirstToken     float64 `json:"predicted_first_token_ms"`
	SeenFirstToken float64 `json:"first_token_ms"`
	Step           float64 `json:"predicted_step_us"`
	SeenStep       float64 `json:"step_us"`
	Answer         float64 `json:"predicted_answer"`
	SeenAnswer     float64 `json:"answer"`
	Reserved       float64 `json:"reserved"`
	Held           float64 `json:"held"`
}

// ending is how requests ended: the key of the account's rows. Seconds is the moment, from
// the first line on.
type ending struct {
	seconds  int
	class    string
	outcome  string
	reason   string
	upstream string
}

// account counts requests from the lines of all instances.
type account struct {
	every time.Duration
	first time.Time
	// refusals counts, by request, what went wrong on the way to its end.
	refusals map[string]map[string]bool
	ends     map[string]ended
	// ratios hold, for each prediction, what was seen over what was predicted.
	ratios map[string][]float64
}

// ended is the last end of one request; a later line of another daemon replaces it.
type ended struct {
	at time.Time
	ending
}

func newAccount(every time.Duration) *account {
	return &account{every: every, refusals: map[string]map[string]bool{}, ends: map[string]ended{}, ratios: map[string][]float64{}}
}

// Run prints the account.
func (c *accountCmd) Run(env *runEnv) error {
	a := newAccount(c.Every)
	if len(c.Files) == 0 {
		if err := a.read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := a.readFile(name); err != nil {
			return err
		}
	}
	if len(a.ends) == 0 {
		return errors.New("no request has ended in these logs")
	}
	return a.write(env.Stdout)
}

func (a *account) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	return errors.Wrapf(a.read(f), "read %s", name)
}

// read takes the lines of one file. What is no line of a daemon is passed over.
func (a *account) read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		raw := s.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 {
			continue
		}
		var l accountLine
		if json.Unmarshal(raw[at:], &l) != nil {
			continue
		}
		switch l.Message {
		case "decision":
			a.decision(&l)
		case "limit of the team reached":
			l.Fields.Step, l.Fields.Class, l.Fields.Reason = "fail", "team "+l.Fields.Team, string(errkind.QuotaExceeded)
			a.decision(&l)
		case "verdict":
			a.verdict(&l.Fields.predictions)
		}
	}
	return errors.WithStack(s.Err())
}

func (a *account) decision(l *accountLine) {
	f := &l.Fields
	if a.first.IsZero() || l.Timestamp.Before(a.first) {
		a.first = l.Timestamp
	}
	switch f.Step {
	case "finish", "fail":
		if l.Timestamp.Before(a.ends[f.Request].at) {
			return
		}
		a.ends[f.Request] = ended{l.Timestamp, ending{class: f.Class, outcome: f.Step, reason: f.Reason, upstream: f.Upstream}}
	case "reserve", "prefill", "decode", "call":
		if f.Reason == "" {
			return
		}
		if a.refusals[f.Request] == nil {
			a.refusals[f.Request] = map[string]bool{}
		}
		a.refusals[f.Request][f.Step+" "+f.Reason] = true
	}
}

func (a *account) verdict(p *predictions) {
	for name, pair := range map[string][2]float64{
		"first token": {p.SeenFirstToken, p.FirstToken},
		"step":        {p.SeenStep, p.Step},
		"answer":      {p.SeenAnswer, p.Answer},
		"memory":      {p.Held, p.Reserved},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			a.ratios[name] = append(a.ratios[name], pair[0]/pair[1])
		}
	}
}

// rows returns the endings with their numbers of requests, the most frequent first.
func (a *account) rows() ([]ending, map[ending]int) {
	count := map[ending]int{}
	for id, e := range a.ends {
		key := e.ending
		if e.outcome == "finish" {
			key.upstream = ""
		} else if on := slices.Sorted(maps.Keys(a.refusals[id])); len(on) > 0 {
			key.reason += " after " + strings.Join(on, ", ")
		}
		if a.every > 0 {
			key.seconds = int(e.at.Sub(a.first).Truncate(a.every).Seconds())
		}
		count[key]++
	}
	keys := slices.SortedFunc(maps.Keys(count), func(x, y ending) int {
		if x.seconds != y.seconds {
			return x.seconds - y.seconds
		}
		if count[x] != count[y] {
			return count[y] - count[x]
		}
		return strings.Compare(fmt.Sprint(x), fmt.Sprint(y))
	})
	return keys, count
}

func (a *account) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "moment s\tclass\toutcome\treason\tupstream\trequests\tshare")
	keys, count := a.rows()
	for _, k := range keys {
		share := float64(count[k]) / float64(len(a.ends))
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%d\t%.4f\n", k.seconds, k.class, k.outcome, k.reason, k.upstream, count[k], share)
	}
	fmt.Fprintf(t, "\t\t\t\t\t%d\t1\n", len(a.ends))
	fmt.Fprintln(t, "\nseen over predicted\tsamples\ttenth\tmedian\tnine tenths")
	for _, name := range slices.Sorted(maps.Keys(a.ratios)) {
		v := a.ratios[name]
		slices.Sort(v)
		at := func(q float64) float64 { return v[int(q*float64(len(v)-1))] }
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\n", name, len(v), at(0.1), at(0.5), at(0.9))
	}
	return errors.WithStack(t.Flush())
}
