package configcheck_test

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/configcheck"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/settings"
)

const record = `{"version":7,"routes":[
 {"name":"drafts","host":"h","path_prefix":"/d/","kind":"stream","resumable":true,"timeout_ms":8000,"target_latency_ms":800,"target_gap_ms":300,"max_attempts":2,"split":[{"service":"e","weight":9},{"service":"f","weight":1}]},
 {"name":"book","host":"h","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":1200,"target_latency_ms":200,"max_attempts":1,"service":"p"},
 {"name":"look","host":"h","path_prefix":"/l/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"max_attempts":2,"service":"p"}],
"services":[{"name":"e","engine":{"slots":12}},{"name":"f","engine":{"slots":12}},{"name":"p"}],
"limits":{"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"a","api_keys":["ka"],"unit":"tokens","plain_tokens":100,"rate_per_s":500,"burst":500},{"name":"b","api_keys":["kb"],"unit":"requests","rate_per_s":5,"burst":5,"priority":2}]}`

// Guards against a check that misses its fault, or that reports a sound configuration. Each case
// changes the sound record above in one place.
func TestFleet(t *testing.T) {
	for _, tc := range []struct{ old, edit, want string }{
		{"", "", ""},
		{`"kb"`, `"ka"`, "error refused tenants"},
		{`"version":7`, `"version":0`, "warning version-missing version"},
		{`"/l/"`, `"/b/"`, "warning route-shadowed routes[2].path_prefix"},
		{`"look","host":"h"`, `"book","host":"h"`, "warning route-name-twice routes[2].name"},
		{`"host":"h","path_prefix":"/b/"`, `"host":"h:80","path_prefix":"/b/"`, "error route-never-matches routes[1].host"},
		{`"/b/"`, `"b/"`, "error route-never-matches routes[1].path_prefix"},
		{`"/b/"`, `""`, "warning prefix-open routes[1].path_prefix"},
		{`"/b/"`, `"/b"`, "warning prefix-open routes[1].path_prefix"},
		{`"service":"f"`, `"service":"g"`, "error service-unknown routes[0].split[1]; warning service-unused services[f]"},
		{`"weight":1`, `"weight":0`, "warning weight-zero routes[0].split[1]; warning service-unused services[f]"},
		{`[{"service":"e","weight":9},{"service":"f","weight":1}]`, `[{"service":"e"}]`, "warning split-without-weight routes[0].split; warning service-unused services[f]"},
		{`"timeout_ms":1200`, `"timeout_ms":0`, "warning timeout-missing routes[1].timeout_ms"},
		{`"timeout_ms":1200`, `"timeout_ms":100`, "warning target-above-timeout routes[1].target_latency_ms"},
		{`"target_gap_ms":300`, `"target_gap_ms":9000`, "warning gap-above-timeout routes[0].target_gap_ms"},
		{`150,"max_attempts":2`, `150,"max_attempts":1`, "warning no-retry routes[2].max_attempts"},
		{`"max_attempts":1`, `"max_attempts":2`, "warning attempts-unused routes[1].max_attempts"},
		{`"idempotent"`, `"idempotent","resumable":true`, "warning resumable-unused routes[2].resumable"},
		{`"name":"look"`, `"name":"look","priority":10`, "warning priority-range routes[2].priority"},
		{`"priority":2`, `"priority":-1`, "warning priority-range tenants[1].priority"},
		{`"kb"`, ``, "warning team-without-keys tenants[1].api_keys (digests)"},
		{`"plain_tokens":100`, `"plain_tokens":501`, "warning burst-too-small tenants[0].burst"},
		{`"plain_tokens":100`, `"plain_tokens":0`, "warning plain-tokens-zero tenants[0].plain_tokens"},
		{`"rate_per_s":5,`, `"rate_per_s":0,`, "warning rate-zero tenants[1].rate_per_s"},
		{`4194304`, `100`, "warning body-limit-small limits.max_body_bytes"},
		{`4194304`, `0`, "warning body-limit-missing limits.max_body_bytes"},
		{`15000`, `2000`, "warning idle-below-header limits.idle_timeout_ms"},
		{`"api_keys":["ka"]`, `"api_keys":[]`, "warning team-without-keys tenants[0].api_keys (digests)"},
		// Against the settings.
		{`"timeout_ms":8000`, `"timeout_ms":8001`, "warning timeout-above-drain routes[0].timeout_ms"},
		{`4194304`, `134217728`, "warning body-above-memory limits.max_body_bytes"},
	} {
		if tc.old != "" && strings.Count(record, tc.old) != 1 {
			t.Fatalf("%s is not in the record once", tc.old)
		}
		c, problems := platform.InspectConfig([]byte(strings.Replace(record, tc.old, tc.edit, 1)))
		if len(problems) > 0 {
			t.Fatal(tc.edit, problems)
		}
		found := slices.Concat(configcheck.Fleet(c), configcheck.FleetSettings(c, settings.AttachedDefaults()))
		if got := codes(found, platform.ConfigPath); got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.edit, got, tc.want)
		}
	}
}

// codes returns severity, code and path of each finding.
func codes(list []configcheck.Finding, path func(string) string) string {
	out := make([]string, 0, len(list))
	for _, f := range list {
		out = append(out, string(f.Severity)+" "+f.Code+" "+path(f.Path))
	}
	return strings.Join(out, "; ")
}

// Guards against routes that nobody may use because no team has a key, and settings that contradict
// the routes or themselves.
func TestFleetAsAWhole(t *testing.T) {
	noKeys := strings.NewReplacer(`"ka"`, "", `"kb"`, "", `"name":"look"`, `"name":"look","public":true`).Replace(record)
	c, _ := platform.InspectConfig([]byte(noKeys))
	if got := codes(configcheck.Fleet(c), platform.ConfigPath); !strings.HasSuffix(got, "error route-without-keys routes[0].public; error route-without-keys routes[1].public") {
		t.Error(got)
	}
	s := settings.AttachedDefaults()
	s.Retries.Ratio, s.Retries.Slack, s.Drain.Notice = 0, 0, s.Drain.Grace
	if got := codes(configcheck.FleetSettings(c, s), platform.ConfigPath); got != "error notice-above-grace drain.notice; warning retries-off routes[0].max_attempts; warning retries-off routes[2].max_attempts" {
		t.Error(got)
	}
}

const bundleFile = `
pools: {p: {role: service, slots: 1}}
upstreams: {u: {pool: p, data_centre: d, address: "h:1", state: serving}}
services: {s: {pool: p, class: urgent, non_idempotent: [/a, /b/], timeout_ms: 2000}}
teams: {t: {key_digests: ["0000000000000000000000000000000000000000000000000000000000000000"], weight: 1, class: urgent}}
classes: {urgent: {first_token_ms: 500, between_tokens_ms: 60, deadline_ms: 10000}}
policy: {retry_budget: 0.1, max_attempts: 2}
`

// Guards against the same for bundle files.
func TestBundle(t *testing.T) {
	for _, tc := range []struct{ old, edit, want string }{
		{"", "", ""},
		{"/b/", "/a/b", "warning prefix-shadowed services.s.non_idempotent[1]"},
		{"{p: {role", "{q: {role: service, slots: 1}, p: {role", "warning pool-unused pools.q"},
		{"serving", "joining", "warning pool-empty pools.p"},
		{`key_digests: ["` + strings.Repeat("0", 64) + `"], `, "", "warning team-without-keys teams.t.key_digests"},
		{"first_token_ms: 500", "first_token_ms: 10001", "warning target-above-timeout classes.urgent.first_token_ms"},
		{"between_tokens_ms: 60", "between_tokens_ms: 10001", "warning gap-above-timeout classes.urgent.between_tokens_ms"},
		{"timeout_ms: 2000", "timeout_ms: 10001", "warning timeout-above-deadline services.s.timeout_ms"},
		{"retry_budget: 0.1, ", "", "warning retries-off policy.retry_budget"},
		{"max_attempts: 2", "max_attempts: 1", "warning no-retry policy.max_attempts"},
		{"max_attempts: 2", "max_attempts: 2, urgent_headroom: 1", "warning headroom-all policy.urgent_headroom"},
		{"deadline_ms: 10000", "deadline_ms: 1200000", "warning timeout-above-max classes.urgent.deadline_ms"},
	} {
		var b bundle.Bundle
		if err := yaml.Unmarshal([]byte(strings.Replace(bundleFile, tc.old, tc.edit, 1)), &b); err != nil {
			t.Fatal(err)
		}
		if err := bundle.Validate(&b); err != nil {
			t.Fatal(err)
		}
		found := slices.Concat(configcheck.Bundle(&b), configcheck.BundleSettings(&b, settings.Defaults()))
		if got := codes(found, strings.Clone); got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.edit, got, tc.want)
		}
	}
	s := settings.Defaults()
	s.Drain.Timeout = 5 * time.Second
	var b bundle.Bundle
	if err := yaml.Unmarshal([]byte(bundleFile), &b); err != nil {
		t.Fatal(err)
	}
	if got := codes(configcheck.BundleSettings(&b, s), strings.Clone); got != "warning timeout-above-drain classes.urgent.deadline_ms" {
		t.Error(got)
	}
}

// Guards against differences that are lost or made up: a priority of 0 instead of none, entries that
// only change places, keys that are shown.
func TestDiffFleet(t *testing.T) {
	from, _ := platform.InspectConfig([]byte(record))
	to, _ := platform.InspectConfig([]byte(strings.NewReplacer(`"priority":2`, `"priority":0`, `"kb"`, `"kc"`, `"name":"p"`, `"name":"q"`).Replace(record)))
	slices.Reverse(to.Routes)
	digest := func(key string) string { return fmt.Sprintf("[%x]", sha256.Sum256([]byte(key)))[:9] + "]" }
	want := []configcheck.Change{
		{Action: configcheck.Removed, Entry: "Services[p]"},
		{Action: configcheck.Added, Entry: "Services[q]"},
		{Action: configcheck.Changed, Entry: "Teams[b]", Fields: []configcheck.Field{{Name: "Keys", Old: digest("kb"), New: digest("kc")}, {Name: "Priority", Old: "2", New: "0"}}},
	}
	if diff := cmp.Diff(want, configcheck.DiffFleet(from, to)); diff != "" {
		t.Error(diff)
	}
}
