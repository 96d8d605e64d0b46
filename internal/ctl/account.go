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

// accountCmd counts requests by outcome and compares predictions with measured values.
type accountCmd struct {
	Files []string      `arg:"" optional:"" type:"existingfile" help:"Log files of all instances; without any, standard input is read."`
	Every time.Duration `help:"Also group the requests by the time of their end, in intervals of this length." placeholder:"DURATION"`
}

// accountLine holds the parts of a log line that an account uses.
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

// predictions are the fields of a verdict line: predicted values and the measured ones.
// Answer, Reserved and Held are in tokens; Reserved is the prediction of Held.
type predictions struct {
	FirstToken         float64 `json:"predicted_first_token_ms"`
	MeasuredFirstToken float64 `json:"first_token_ms"`
	Step               float64 `json:"predicted_step_us"`
	MeasuredStep       float64 `json:"step_us"`
	Answer             float64 `json:"predicted_answer"`
	MeasuredAnswer     float64 `json:"answer"`
	Reserved           float64 `json:"reserved"`
	Held               float64 `json:"held"`
}

// outcomeKey holds the fields by which requests are counted; each key is a row of the
// account. intervalStart is in seconds since the first line, or 0 without --every.
type outcomeKey struct {
	intervalStart int
	class         string // "team NAME" for a request refused at its team's limit
	outcome       string // "finish" or "fail", the step of the last decision
	reason        string
	upstream      string
}

// account counts requests by outcome, from the log lines of all instances.
type account struct {
	interval  time.Duration
	firstTime time.Time
	// failedSteps holds, by request id, the set of failed steps, each as "step reason".
	failedSteps map[string]map[string]bool
	// ends holds the outcomes by request id.
	ends map[string]requestEnd
	// ratios holds the quotients measured / predicted, by the name of the value.
	ratios map[string][]float64
}

// requestEnd is the outcome of one request. If several daemons log an end of the same
// request, the latest one is kept.
type requestEnd struct {
	at time.Time
	outcomeKey
}

func newAccount(every time.Duration) *account {
	return &account{interval: every, failedSteps: map[string]map[string]bool{}, ends: map[string]requestEnd{}, ratios: map[string][]float64{}}
}

// Run reads the logs and prints the account.
func (c *accountCmd) Run(env *runEnv) error {
	a := newAccount(c.Every)
	if len(c.Files) == 0 {
		if err := a.readLines(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := a.readFile(name); err != nil {
			return err
		}
	}
	if len(a.ends) == 0 {
		return errors.New("the logs contain no finished request")
	}
	return a.write(env.Stdout)
}

// readFile adds the lines of a file.
func (a *account) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	return errors.Wrapf(a.readLines(f), "read %s", name)
}

// readLines adds the lines of a log and ignores those that are not JSON objects. Text
// before the object, such as the time and host that a log collector adds, is skipped.
func (a *account) readLines(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		raw := s.Bytes()
		brace := bytes.IndexByte(raw, '{')
		if brace < 0 {
			continue
		}
		var l accountLine
		if json.Unmarshal(raw[brace:], &l) != nil {
			continue
		}
		switch l.Message {
		case "decision":
			a.addDecision(&l)
		case "limit of the team reached":
			l.Fields.Step, l.Fields.Class, l.Fields.Reason = "fail", "team "+l.Fields.Team, string(errkind.QuotaExceeded)
			a.addDecision(&l)
		case "verdict":
			a.addVerdict(&l.Fields.predictions)
		}
	}
	return errors.WithStack(s.Err())
}

// addDecision adds a step of a request: its end, or a step that failed.
func (a *account) addDecision(l *accountLine) {
	f := &l.Fields
	if a.firstTime.IsZero() || l.Timestamp.Before(a.firstTime) {
		a.firstTime = l.Timestamp
	}
	switch f.Step {
	case "finish", "fail":
		if l.Timestamp.Before(a.ends[f.Request].at) {
			return
		}
		a.ends[f.Request] = requestEnd{l.Timestamp, outcomeKey{class: f.Class, outcome: f.Step, reason: f.Reason, upstream: f.Upstream}}
	case "reserve", "prefill", "decode", "call":
		if f.Reason == "" {
			return
		}
		if a.failedSteps[f.Request] == nil {
			a.failedSteps[f.Request] = map[string]bool{}
		}
		a.failedSteps[f.Request][f.Step+" "+f.Reason] = true
	}
}

// addVerdict adds the ratios of a verdict line's measured and predicted values.
func (a *account) addVerdict(p *predictions) {
	for name, pair := range map[string][2]float64{
		"first token": {p.MeasuredFirstToken, p.FirstToken},
		"step":        {p.MeasuredStep, p.Step},
		"answer":      {p.MeasuredAnswer, p.Answer},
		"memory":      {p.Held, p.Reserved},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			a.ratios[name] = append(a.ratios[name], pair[0]/pair[1])
		}
	}
}

// rows returns the keys in order of time, then the most frequent first, and the number of
// requests for each key.
func (a *account) rows() ([]outcomeKey, map[outcomeKey]int) {
	count := map[outcomeKey]int{}
	for id, e := range a.ends {
		key := e.outcomeKey
		if e.outcome == "finish" {
			key.upstream = ""
		} else if failed := slices.Sorted(maps.Keys(a.failedSteps[id])); len(failed) > 0 {
			key.reason += " after " + strings.Join(failed, ", ")
		}
		if a.interval > 0 {
			key.intervalStart = int(e.at.Sub(a.firstTime).Truncate(a.interval).Seconds())
		}
		count[key]++
	}
	keys := slices.SortedFunc(maps.Keys(count), func(x, y outcomeKey) int {
		if x.intervalStart != y.intervalStart {
			return x.intervalStart - y.intervalStart
		}
		if count[x] != count[y] {
			return count[y] - count[x]
		}
		return strings.Compare(fmt.Sprint(x), fmt.Sprint(y))
	})
	return keys, count
}

// write prints a table of outcomes and a table of the ratios of measured to predicted
// values.
func (a *account) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "moment s\tclass\toutcome\treason\tupstream\trequests\tshare")
	keys, count := a.rows()
	for _, k := range keys {
		share := float64(count[k]) / float64(len(a.ends))
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%d\t%.4f\n", k.intervalStart, k.class, k.outcome, k.reason, k.upstream, count[k], share)
	}
	fmt.Fprintf(t, "\t\t\t\t\t%d\t1\n", len(a.ends))
	fmt.Fprintln(t, "\nseen over predicted\tsamples\ttenth\tmedian\tnine tenths")
	for _, name := range slices.Sorted(maps.Keys(a.ratios)) {
		values := a.ratios[name]
		slices.Sort(values)
		quantile := func(q float64) float64 { return values[int(q*float64(len(values)-1))] }
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\n", name, len(values), quantile(0.1), quantile(0.5), quantile(0.9))
	}
	return errors.WithStack(t.Flush())
}
