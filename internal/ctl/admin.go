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
	// adminTimeout is the timeout of one call to a daemon.
	adminTimeout = 5 * time.Second
	// maxAdminReply is the maximum size of a daemon's response, in bytes.
	maxAdminReply = 16 << 20
	// statusInterval is the interval at which bundle status --until queries the daemons.
	statusInterval = 200 * time.Millisecond
	// shortDigestLen is the number of hex digits of a digest that a table shows.
	shortDigestLen = 12
)

// adminFlags are the flags of commands that query the daemons' administration listeners.
type adminFlags struct {
	Admin     []string `required:"" help:"URL of a daemon's administration listener; repeat it for each daemon." placeholder:"URL" env:"CORIANDERCTL_ADMIN"`
	TokenFile string   `help:"File with the bearer token; without it CORIANDERCTL_TOKEN is used." placeholder:"FILE"`
}

// token returns the bearer token for the administration listeners.
func (f adminFlags) token() (string, error) {
	if f.TokenFile == "" {
		return os.Getenv("CORIANDERCTL_TOKEN"), nil
	}
	data, err := os.ReadFile(f.TokenFile)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read token")
}

// daemonReply is the response of one daemon, or the error of the call.
type daemonReply[T any] struct {
	url   string
	value T
	err   error
}

// queryAll sends the same request to all daemons in parallel. The responses are in the
// order of the flags.
func queryAll[T any](env *runEnv, f adminFlags, path string) ([]daemonReply[T], error) {
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	return iter.Map(f.Admin, func(url *string) daemonReply[T] {
		a := daemonReply[T]{url: *url}
		a.err = query(env, strings.TrimRight(*url, "/")+path, token, &a.value)
		return a
	}), nil
}

// query makes one GET request and decodes the JSON response into out.
func query(env *runEnv, url, token string, out any) error {
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
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		var apiError adminapi.Error
		_ = json.Unmarshal(body, &apiError)
		return errors.Errorf("status %d %s", resp.StatusCode, apiError.Error)
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode response")
}

// reportFailures prints the errors of failed calls to standard error. It returns an error
// if there are any.
func reportFailures[T any](env *runEnv, answers []daemonReply[T]) error {
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

// printTable prints rows with aligned columns.
func printTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// requestsCmd lists the requests in flight.
type requestsCmd struct{ adminFlags }

// Run queries the daemons and prints a row for each request.
func (c *requestsCmd) Run(env *runEnv) error {
	answers, err := queryAll[adminapi.Requests](env, c.adminFlags, adminapi.PathRequests)
	if err != nil {
		return err
	}
	rows := [][]string{{"INSTANCE", "REQUEST", "TEAM", "CLASS", "TARGET", "STEP", "ATTEMPT", "UPSTREAM", "TOKENS", "AGE", "LEFT"}}
	omitted := 0
	for _, a := range answers {
		omitted += a.value.Omitted
		for _, r := range a.value.Requests {
			rows = append(rows, []string{a.value.Instance, r.ID, r.Team, r.Class, r.Target, r.Step, strconv.Itoa(r.Attempt),
				r.Upstream, strconv.Itoa(r.Tokens), formatMillis(r.AgeMS), formatMillis(r.DeadlineMS)})
		}
	}
	printTable(env.Stdout, rows)
	if omitted > 0 {
		env.printf("%d more are not listed\n", omitted)
	}
	return reportFailures(env, answers)
}

// upstreamsCmd lists the upstreams as each daemon sees them.
type upstreamsCmd struct{ adminFlags }

// Run queries the daemons and prints a row for each upstream and daemon.
func (c *upstreamsCmd) Run(env *runEnv) error {
	answers, err := queryAll[adminapi.Upstreams](env, c.adminFlags, adminapi.PathUpstreams)
	if err != nil {
		return err
	}
	rows := [][]string{{"INSTANCE", "UPSTREAM", "POOL", "DATA CENTRE", "ADDRESS", "STATE", "LEAVING", "HEALTH", "ACTIVE", "QUEUED", "SLOTS", "LOAD AGE", "STEWARD"}}
	for _, a := range answers {
		for _, u := range a.value.Upstreams {
			rows = append(rows, []string{a.value.Instance, u.Name, u.Pool, u.DataCentre, u.Address, u.State, u.Leaving, u.Health,
				strconv.Itoa(u.Active), strconv.Itoa(u.Queued), strconv.Itoa(u.Slots), formatMillis(u.LoadAgeMS), u.Steward})
		}
	}
	printTable(env.Stdout, rows)
	return reportFailures(env, answers)
}

// formatMillis formats a duration given in milliseconds. A negative value means unknown.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
