package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/fleet"
)

var t0 = time.UnixMilli(1_796_252_969_000)

// recordOf returns the record of a try that began at a version.
func recordOf(try, version string) Record {
	return Record{ID: IDOf("team", try), Service: "llm", Version: version, Upstream: "u", Born: 7, BeganMillis: t0.UnixMilli(), LifeMillis: 1000}
}

// Guards against a stream that goes on at a version that is only guessed.
func TestDecide(t *testing.T) {
	r := recordOf("a", "v1")
	for name, tc := range map[string]struct {
		e       evidence
		version string
		outcome Outcome
	}{
		"record":                           {evidence{record: r, found: true, holds: true, services: []string{"llm"}}, "v1", Recorded},
		"record of one service of several": {evidence{record: r, found: true, holds: true, services: []string{"x", "llm"}}, "v1", Recorded},
		"record of another service":        {evidence{record: r, found: true, holds: true, services: []string{"x"}, soleVersion: "v1"}, "", Moved},
		"record in doubt":                  {evidence{record: r, found: true, services: []string{"llm"}, soleVersion: "v1"}, "", Restarted},
		"records that contradict":          {evidence{conflict: true, services: []string{"llm"}, soleVersion: "v1"}, "", Conflicting},
		"one version, a try is named":      {evidence{named: true, services: []string{"llm"}, soleVersion: "v2"}, "", Unknown},
		"one version":                      {evidence{services: []string{"llm"}, soleVersion: "v2"}, "v2", SoleVersion},
		"one version of one of two":        {evidence{services: []string{"llm", "x"}, soleVersion: "v2"}, "", Unknown},
		"nothing":                          {evidence{services: []string{"llm"}}, "", Unknown},
	} {
		if _, version, outcome := decide(tc.e); version != tc.version || outcome != tc.outcome {
			t.Errorf("%s: %q, %s", name, version, outcome)
		}
	}
}

// Guards against a record whose version is that of a registration which was older than a restart of
// the upstream.
func TestHolds(t *testing.T) {
	r := recordOf("a", "v1")
	for name, tc := range map[string]struct {
		now  fleet.Registration
		want bool
	}{
		"same run":                          {fleet.Registration{Version: "v1", Born: 7}, true},
		"restarted at the same version":     {fleet.Registration{Version: "v1", Born: 8}, true},
		"restarted long after":              {fleet.Registration{Version: "v2", Born: t0.Add(time.Minute).UnixMilli()}, true},
		"restarted before":                  {fleet.Registration{Version: "v2", Born: t0.Add(-time.Second).UnixMilli()}, false},
		"restarted about then":              {fleet.Registration{Version: "v2", Born: t0.Add(300 * time.Millisecond).UnixMilli()}, false},
		"another version, start not stated": {fleet.Registration{Version: "v2"}, false},
	} {
		if got := Holds(r, tc.now, true); got != tc.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	if !Holds(r, fleet.Registration{}, false) {
		t.Error("an upstream that is gone")
	}
}

// Guards against ids that two callers, or two teams, use, and that decide for each other.
func TestRecordsOfOneID(t *testing.T) {
	table := NewTable()
	table.Add(t0, recordOf("a", "v1"))
	table.Add(t0, recordOf("a", "v1"))
	if _, found, conflict := table.Get(t0, IDOf("team", "a")); !found || conflict {
		t.Error("the same origin twice")
	}
	if _, found, _ := table.Get(t0, IDOf("other team", "a")); found {
		t.Error("another team's record")
	}
	if IDOf("team", "a") == IDOf("tea", "ma") {
		t.Error("the border between team and try does not count")
	}
	table.Add(t0, recordOf("a", "v2"))
	if _, found, conflict := table.Get(t0, IDOf("team", "a")); found || !conflict {
		t.Error("two origins")
	}
	if _, found, _ := table.Get(t0.Add(time.Second), IDOf("team", "a")); found {
		t.Error("a record that has run out")
	}
}

// Guards against memory that grows with the streams, or with what other daemons send.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.limit = 100
	for i := range 1000 {
		table.Add(t0, recordOf(fmt.Sprint(i), fmt.Sprint("v", i)))
	}
	if n := table.Len(); n != table.limit || len(table.counts) > table.limit || len(table.order) > 4*table.limit {
		t.Errorf("%d records, %d counts, %d in order", n, len(table.counts), len(table.order))
	}
	if _, found, _ := table.Get(t0, IDOf("team", "999")); !found {
		t.Error("the newest record is gone")
	}
	if got := table.Versions(t0, "llm", 2); len(got) != 2 {
		t.Errorf("versions %v", got)
	}
	if got := table.Versions(t0.Add(time.Minute), "llm", 2); len(got) != 0 || table.Len() != 0 {
		t.Errorf("versions %v, %d records after their time", got, table.Len())
	}
}

// Guards against records of other writers that no daemon makes.
func TestUnpackValidates(t *testing.T) {
	good := recordOf("a", "v1")
	raw, err := good.Pack()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unpack(raw)
	if diff := cmp.Diff(good, got, cmp.AllowUnexported(Record{})); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
	for name, change := range map[string]func(r *Record){
		"no service": func(r *Record) { r.Service = "" }, "no version": func(r *Record) { r.Version = "" }, "no upstream": func(r *Record) { r.Upstream = "" },
		"long version": func(r *Record) { r.Version = strings.Repeat("v", maxNameBytes+1) },
		"no life":      func(r *Record) { r.LifeMillis = 0 }, "endless life": func(r *Record) { r.LifeMillis = 1 << 40 }, "no time": func(r *Record) { r.BeganMillis = 0 },
	} {
		r := good
		change(&r)
		raw, err := r.Pack()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Unpack(raw); err == nil || NewTable().Add(t0, r) {
			t.Errorf("%s: accepted", name)
		}
	}
	for _, raw := range []string{"", "\xc0", "\x90", "\xdd\xff\xff\xff\xff"} {
		if _, err := Unpack([]byte(raw)); err == nil {
			t.Errorf("accepted %q", raw)
		}
	}
}
