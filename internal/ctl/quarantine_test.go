package ctl

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/quarantine"
)

// Guards against a request that stays in quarantine although a release has fixed the crash.
// Three upstreams crashed while running the request. The operator must see it in the list,
// and no longer after removing it from quarantine.
func TestQuarantineIsListedAndLifted(t *testing.T) {
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	now := time.Now()
	d := quarantine.DigestOf("fatal")
	var list []quarantine.Record
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		list = append(list, quarantine.Record{Digest: d, Upstream: name, Millis: now.Add(-time.Minute).UnixMilli(), RanMillis: 100})
	}
	run := func(args ...string) string {
		var out, errs bytes.Buffer
		args = append([]string{"quarantine", "--store", s.StoreAddress()}, args...)
		if code := Main(t.Context(), args, Env{Stdout: &out, Stderr: &errs, Clock: func() time.Time { return now }}); code != ExitOK {
			t.Fatalf("%v: %d: %s", args, code, errs.String())
		}
		return out.String()
	}
	shared := platform.NewQuarantineLog(platform.NewStore(s.StoreAddress(), &http.Client{}, &log.Logger{Handler: discard.New()}))
	if err := shared.Append(context.Background(), list); err != nil {
		t.Fatal(err)
	}
	if got := run(); !strings.Contains(got, d.String()+"  3     1m0s ago  i-3            true") {
		t.Errorf("listed:\n%s", got)
	}
	run("--lift", d.String())
	if got := run(); strings.Contains(got, d.String()) {
		t.Errorf("listed after it was lifted:\n%s", got)
	}
}
