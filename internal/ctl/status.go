package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/admin/adminapi"
)

// statusCmd shows the bundle version in force on each daemon.
type statusCmd struct {
	adminFlags
	Until uint64 `help:"Wait until this version or a later one is in force on every daemon." placeholder:"NUMBER"`
}

// Run queries the daemons, with --until repeatedly, and prints the status by data centre.
func (c *statusCmd) Run(env *runEnv) error {
	for {
		answers, err := queryAll[adminapi.BundleStatus](env, c.adminFlags, adminapi.PathBundle)
		if err != nil {
			return err
		}
		if allReached(answers, c.Until) {
			printStatus(env, answers)
			return reportFailures(env, answers)
		}
		select {
		case <-env.ctx.Done():
			printStatus(env, answers)
			_ = reportFailures(env, answers)
			return errors.Errorf("version %d is not in force everywhere", c.Until)
		case <-time.After(statusInterval):
		}
	}
}

// allReached reports whether every daemon has answered and has at least version number in
// force. It is always true for number 0.
func allReached(answers []daemonReply[adminapi.BundleStatus], number uint64) bool {
	if number == 0 {
		return true
	}
	for _, a := range answers {
		if a.err != nil || a.value.Number < number {
			return false
		}
	}
	return true
}

// printStatus prints a row for each daemon, sorted by data centre, and then a summary line
// for each data centre.
func printStatus(env *runEnv, answers []daemonReply[adminapi.BundleStatus]) {
	var replies []adminapi.BundleStatus
	for _, a := range answers {
		if a.err == nil {
			replies = append(replies, a.value)
		}
	}
	slices.SortFunc(replies, func(a, b adminapi.BundleStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Instance, b.Instance))
	})
	rows := [][]string{{"DATA CENTRE", "INSTANCE", "VERSION", "DIGEST", "READY"}}
	for _, s := range replies {
		digest := s.Digest[:min(len(s.Digest), shortDigestLen)]
		rows = append(rows, []string{s.DataCentre, s.Instance, strconv.FormatUint(s.Number, 10), digest, strconv.FormatBool(s.Ready)})
	}
	printTable(env.Stdout, rows)
	for len(replies) > 0 {
		n := slices.IndexFunc(replies, func(s adminapi.BundleStatus) bool { return s.DataCentre != replies[0].DataCentre })
		if n < 0 {
			n = len(replies)
		}
		env.printf("%s\n", summarize(replies[:n]))
		replies = replies[n:]
	}
}

// summarize returns the summary line of one data centre: the version in force on its
// daemons, or how they differ.
func summarize(statuses []adminapi.BundleStatus) string {
	low, high := statuses[0].Number, statuses[0].Number
	agree := true
	for _, s := range statuses {
		low, high = min(low, s.Number), max(high, s.Number)
		agree = agree && s.Digest == statuses[0].Digest
	}
	name := statuses[0].DataCentre
	switch {
	case agree:
		return fmt.Sprintf("%s: version %d in force on all %d daemons asked", name, low, len(statuses))
	case low == high:
		return fmt.Sprintf("%s: CONFLICT, daemons have different records for version %d", name, low)
	default:
		return fmt.Sprintf("%s: versions %d to %d in force", name, low, high)
	}
}
