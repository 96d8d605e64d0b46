package ctl

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/quarantine"
)

// Guards against a request or prompt part that stays in quarantine although a release has fixed the
// crash. Three upstreams crashed while running the request. The operator must see it in the list,
// and no longer after removing it from quarantine.
func TestQuarantineIsListedAndLifted(t *testing.T) {
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	now := time.Now()
	whole, part := quarantine.DigestOf("fatal"), quarantine.PartDigest("team", "bad0bad0")
	var list []quarantine.Record
	for i, name := range []string{"i-1", "i-2", "i-3", "i-4"} {
		at := now.Add(-time.Minute - time.Duration(3-i)*time.Second).UnixMilli()
		list = append(list, quarantine.Record{Digest: part, Upstream: name, Millis: at, RanMillis: 100})
		if i > 0 {
			list = append(list, quarantine.Record{Digest: whole, Upstream: name, Millis: at, RanMillis: 100})
		}
	}
	run := func(args ...string) string {
		var out, errs bytes.Buffer
		args = append([]string{"quarantine", "--store", s.StoreAddress()}, args...)
		if code := Main(t.Context(), args, Env{Stdout: &out, Stderr: &errs, Clock: func() time.Time { return now }}); code != ExitOK {
			t.Fatalf("%v: %d: %s", args, code, errs.String())
		}
		return out.String()
	}
	shared := platform.NewQuarantineTopic(platform.NewStore(s.StoreAddress(), &http.Client{}, &log.Logger{Handler: discard.New()}))
	if _, err := shared.Append(context.Background(), list); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		digest quarantine.Digest
		want   string
	}{
		{whole, "- 3 1m0s ago i-4 true"},
		{part, "bad0bad0 4 1m0s ago i-4 true"},
	} {
		if got := run(); !slices.Contains(rows(got), tc.digest.String()+" "+tc.want) {
			t.Errorf("listed:\n%s", got)
		}
		run("--lift", tc.digest.String())
		if got := run(); strings.Contains(got, tc.digest.String()) {
			t.Errorf("listed after it was lifted:\n%s", got)
		}
	}
}

// rows returns the lines of a table, with one space between two fields: their widths depend on what else
// is listed.
func rows(table string) (out []string) {
	for line := range strings.Lines(table) {
		out = append(out, strings.Join(strings.Fields(line), " "))
	}
	return out
}
