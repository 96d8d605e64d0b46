package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestParseCounters(t *testing.T) {
	const page = `# TYPE corianderturn_control_sent_bytes_total counter
corianderturn_control_sent_bytes_total{otel_scope_name="a"} 5
corianderturn_control_sent_bytes_total{otel_scope_name="b"} 7
# TYPE corianderturn_first_token_seconds histogram
corianderturn_first_token_seconds_bucket{le="+Inf"} 1
corianderturn_first_token_seconds_sum 1
corianderturn_first_token_seconds_count 1
`
	got, err := parseMetrics(strings.NewReader(page))
	if err != nil {
		t.Fatal(err)
	}
	if got[metricControlOut] != 12 {
		t.Errorf("sum over labels %v, want 12", got[metricControlOut])
	}
	if _, err := parseMetrics(strings.NewReader("no metrics {")); err == nil {
		t.Error("parseMetrics accepted a malformed page")
	}
}

func TestRatesBetween(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	before := fleetReading{at: at(10), log: LogUsage{Appends: 10}, daemon: map[int]DaemonUsage{
		1: {At: at(10), ControlIn: 100, CPU: 1, Resident: 5, IOBeforeScrape: IO{Read: 1}, IOAfterScrape: IO{Read: 100}},
		2: {At: at(10), ControlIn: 0, CPU: 2, Resident: 5},
		3: {At: at(10), ControlIn: 900, CPU: 9},
	}}
	after := fleetReading{at: at(14), log: LogUsage{Appends: 50}, daemon: map[int]DaemonUsage{
		1: {At: at(14), ControlIn: 500, CPU: 2, Resident: 10, IOBeforeScrape: IO{Read: 500}, IOAfterScrape: IO{Read: 900}},
		2: {At: at(12), ControlIn: 600, CPU: 3, Resident: 30},
		4: {At: at(14), ControlIn: 1}, // the daemon of process 3 was restarted as process 4
	}}
	// The two daemons received 100 and 300 B/s and used 0.25 and 0.5 cores, each over
	// the time between its own readings of 4 s and 2 s. The I/O of reading the metrics,
	// 99 bytes in the first reading and 400 in the last, is not counted.
	want := Rates{Daemons: 2, ControlIn: 200, AllIn: 50, CPU: 0.375, Resident: 20, LogAppends: 10}
	if d := cmp.Diff(want, ratesBetween(before, after), cmpopts.EquateApprox(0, 1e-9)); d != "" {
		t.Error(d)
	}
}

func TestSweepsHaveValidFleetSizes(t *testing.T) {
	for _, v := range sizeSweeps() {
		if len(v.points) < 4 {
			t.Errorf("%s has %d points, want at least 4", v.name, len(v.points))
		}
		for _, x := range v.points {
			s := v.fleetSize(x)
			if s.Prefill < 1 || s.Decode < 1 || s.Daemons < 1 || s.Services < 1 {
				t.Errorf("%s at %g: %+v", v.name, x, s)
			}
		}
	}
	if err := checkLimits(FleetSize{Decode: maxProcesses}); err == nil {
		t.Error("checkLimits accepted a fleet with too many processes")
	}
}
