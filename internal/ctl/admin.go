package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/corianderturn/corianderturn/admin/adminapi"
)

const (
	// adminTimeout bounds one call to a daemon.
	adminTimeout = 5 * time.Second
	// maxAdminReply bounds one daemon's answer, in bytes.
	maxAdminReply = 16 << 20
	// statusEvery is the time between two rounds of bundle status --until.
	statusEvery = 200 * time.Millisecond
	// shortDigest is how many hex digits of a digest a table shows.
	shortDigest = 12
)

// adminFlags name the daemons to ask.
type adminFlags struct {
	Admin     []string `required:"" help:"URL of a daemon's administration listener; repeat it for each daemon." placeholder:"URL" env:"CORIANDERCTL_ADMIN"`
	TokenFile string   `help:"File with the bearer token; without it CORIANDERCTL_TOKEN is used." placeholder:"FILE"`
}

func (f adminFlags) token() (string, error) {
	if f.TokenFile == "" {
		return os.Getenv("CORIANDERCTL_TOKEN"), nil
	}
	data, err := os.ReadFile(f.TokenFile)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read token")
}

// answerOf is one daemon's answer.
type answerOf[T any] struct {
	url   string
	value T
	err   error
}

// askAll asks every daemon at once; the answers are in the flags' order.
func askAll[T any](env *runEnv, f adminFlags, path string) ([]answerOf[T], error) {
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	return iter.Map(f.Admin, func(url *string) answerOf[T] {
		a := answerOf[T]{url: *url}
		a.err = ask(env, strings.TrimRight(*url, "/")+path, token, &a.value)
		return a
	}), nil
}

func ask(env *runEnv, url, token string, out any) error {
	ctx, cancel := context.WithTimeout(env.ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := env.HTTP.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminReply))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		var refusal adminapi.Error
		_ = json.Unmarshal(body, &refusal)
		return errors.Errorf("status %d %s", resp.StatusCode, refusal.Error)
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode answer")
}

// unanswered prints the daemons that did not answer and returns an error if there are any.
func unanswered[T any](env *runEnv, answers []answerOf[T]) error {
	failed := 0
	for _, a := range answers {
		if a.err != nil {
			failed++
			_, _ = fmt.Fprintf(env.Stderr, "%s: %v\n", a.url, a.err)
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d daemons did not answer", failed, len(answers))
	}
	return nil
}

// table prints rows with aligned columns.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

type requestsCmd struct{ adminFlags }

// Run lists requests in flight.
func (c *requestsCmd) Run(env *runEnv) error {
	answers, err := askAll[adminapi.Requests](env, c.adminFlags, adminapi.PathRequests)
	if err != nil {
		return err
	}
	rows := [][]string{{"INSTANCE", "REQUEST", "TEAM", "CLASS", "TARGET", "STEP", "ATTEMPT", "UPSTREAM", "TOKENS", "AGE", "LEFT"}}
	omitted := 0
	for _, a := range answers {
		omitted += a.value.Omitted
		for _, r := range a.value.Requests {
			rows = append(rows, []string{a.value.Instance, r.ID, r.Team, r.Class, r.Target, r.Step, strconv.Itoa(r.Attempt),
				r.Upstream, strconv.Itoa(r.Tokens), millis(r.AgeMS), millis(r.DeadlineMS)})
		}
	}
	table(env.Stdout, rows)
	if omitted > 0 {
		env.printf("%d more are not listed\n", omitted)
	}
	return unanswered(env, answers)
}

type upstreamsCmd struct{ adminFlags }

// Run lists upstreams as each daemon sees them.
func (c *upstreamsCmd) Run(env *runEnv) error {
	answers, err := askAll[adminapi.Upstreams](env, c.adminFlags, adminapi.PathUpstreams)
	if err != nil {
		return err
	}
	rows := [][]string{{"INSTANCE", "UPSTREAM", "POOL", "DATA CENTRE", "ADDRESS", "STATE", "LEAVING", "HEALTH", "ACTIVE", "QUEUED", "SLOTS", "LOAD AGE", "STEWARD"}}
	for _, a := range answers {
		for _, u := range a.value.Upstreams {
			rows = append(rows, []string{a.value.Instance, u.Name, u.Pool, u.DataCentre, u.Address, u.State, u.Leaving, u.Health,
				strconv.Itoa(u.Active), strconv.Itoa(u.Queued), strconv.Itoa(u.Slots), millis(u.LoadAgeMS), u.Steward})
		}
	}
	table(env.Stdout, rows)
	return unanswered(env, answers)
}

// millis prints a time in milliseconds; a negative one was never known.
func millis(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
