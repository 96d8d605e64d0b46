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

type statusCmd struct {
	adminFlags
	Until uint64 `help:"Wait until every daemon has this version, or a later one, in force." placeholder:"NUMBER"`
}

// Run shows which version is in force in each data centre.
func (c *statusCmd) Run(env *runEnv) error {
	for {
		answers, err := askAll[adminapi.BundleStatus](env, c.adminFlags, adminapi.PathBundle)
		if err != nil {
			return err
		}
		if reached(answers, c.Until) {
			printStatus(env, answers)
			return unanswered(env, answers)
		}
		select {
		case <-env.ctx.Done():
			printStatus(env, answers)
			_ = unanswered(env, answers)
			return errors.Errorf("version %d is not in force everywhere", c.Until)
		case <-time.After(statusEvery):
		}
	}
}

func reached(answers []answerOf[adminapi.BundleStatus], number uint64) bool {
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

// printStatus prints a row a daemon, by data centre, and a line a data centre.
func printStatus(env *runEnv, answers []answerOf[adminapi.BundleStatus]) {
	var up []adminapi.BundleStatus
	for _, a := range answers {
		if a.err == nil {
			up = append(up, a.value)
		}
	}
	slices.SortFunc(up, func(a, b adminapi.BundleStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Instance, b.Instance))
	})
	rows := [][]string{{"DATA CENTRE", "INSTANCE", "VERSION", "DIGEST", "READY"}}
	for _, s := range up {
		digest := s.Digest[:min(len(s.Digest), shortDigest)]
		rows = append(rows, []string{s.DataCentre, s.Instance, strconv.FormatUint(s.Number, 10), digest, strconv.FormatBool(s.Ready)})
	}
	table(env.Stdout, rows)
	for len(up) > 0 {
		n := slices.IndexFunc(up, func(s adminapi.BundleStatus) bool { return s.DataCentre != up[0].DataCentre })
		if n < 0 {
			n = len(up)
		}
		env.printf("%s\n", summary(up[:n]))
		up = up[n:]
	}
}

// summary says what is in force in one data centre.
func summary(in []adminapi.BundleStatus) string {
	low, high := in[0].Number, in[0].Number
	agree := true
	for _, s := range in {
		low, high = min(low, s.Number), max(high, s.Number)
		agree = agree && s.Digest == in[0].Digest
	}
	name := in[0].DataCentre
	switch {
	case agree:
		return fmt.Sprintf("%s: version %d in force on all %d daemons asked", name, low, len(in))
	case low == high:
		return fmt.Sprintf("%s: CONFLICT, daemons have different records for version %d", name, low)
	default:
		return fmt.Sprintf("%s: versions %d to %d in force", name, low, high)
	}
}
