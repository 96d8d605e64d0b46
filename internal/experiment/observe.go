package experiment

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
)

// The names of the daemons' metrics that are read. They count the bytes and frames on the
// connections between daemons, which are called control traffic.
const (
	metricControlIn  = "corianderturn_control_received_bytes_total"
	metricControlOut = "corianderturn_control_sent_bytes_total"
	metricFramesIn   = "corianderturn_control_received_frames_total"
	metricFramesOut  = "corianderturn_control_sent_frames_total"
)

// maxMetricsBytes is the maximum number of bytes that are read from a metrics page.
const maxMetricsBytes = 8 << 20

// DaemonUsage is the resource usage of one daemon. The counters start with the process.
type DaemonUsage struct {
	// At is the time of the reading.
	At         time.Time
	ControlIn  float64 // bytes received from other daemons
	ControlOut float64 // bytes sent to other daemons
	FramesIn   float64 // frames received from other daemons
	FramesOut  float64 // frames sent to other daemons
	CPU        float64 // processor time in core-seconds
	Resident   float64 // resident memory at the time of the reading, in bytes
	// IOBeforeScrape and IOAfterScrape are the process's I/O counters just before and after its
	// metrics were read.
	IOBeforeScrape, IOAfterScrape IO
}

// IO holds the kernel's counters of the bytes that a process has read and written,
// on all its sockets and files.
type IO struct{ Read, Written float64 }

func readIO(p procfs.Proc) (IO, error) {
	io, err := p.IO()
	return IO{Read: float64(io.RChar), Written: float64(io.WChar)}, errors.WithStack(err)
}

// LogUsage holds the counters of the log service since its start.
type LogUsage struct {
	Appends, Records, Reads int
	Bytes                   int64
}

// Rates holds the mean resource usage of one daemon during a window, over the
// daemons whose process ran through the window, and the usage of the log.
type Rates struct {
	// Daemons is the number of daemons that the means are over.
	Daemons int `json:"daemons"`
	// ControlIn, ControlOut and Messages are the traffic between daemons; Messages
	// counts received and sent frames.
	ControlIn  float64 `json:"control_in_bytes_per_s"`
	ControlOut float64 `json:"control_out_bytes_per_s"`
	Messages   float64 `json:"messages_per_s"`
	// CPU is the mean number of busy cores, Resident the resident memory at the end
	// of the window.
	CPU      float64 `json:"cores"`
	Resident float64 `json:"resident_bytes"`
	// AllIn and AllOut count all bytes that the process read and wrote, including
	// the traffic of callers and upstreams but not the reading of its metrics.
	AllIn  float64 `json:"all_in_bytes_per_s"`
	AllOut float64 `json:"all_out_bytes_per_s"`
	// LogAppends, LogReads and LogBytes are the load on the log by the whole fleet.
	LogAppends float64 `json:"log_appends_per_s"`
	LogReads   float64 `json:"log_reads_per_s"`
	LogBytes   float64 `json:"log_bytes_per_s"`
}

// fleetReading is the usage of every daemon and of the log at one time.
type fleetReading struct {
	at     time.Time
	daemon map[int]DaemonUsage // by process id, so that a restarted daemon has a new entry
	log    LogUsage
}

// fleetObserver reads the daemons' metrics, the kernel's counters of their processes
// and the log's statistics.
type fleetObserver struct {
	bed    Bed
	client *http.Client
}

// read returns a reading of the log and of the daemons that could be read. It fails if no
// daemon or if the log's statistics could not be read.
func (o fleetObserver) read(ctx context.Context) (fleetReading, error) {
	out := fleetReading{at: time.Now(), daemon: map[int]DaemonUsage{}}
	var lastErr error
	for _, d := range o.bed.Daemons() {
		u, err := o.readUsage(ctx, d)
		if err != nil { // it may be restarting; Rates.Daemons shows how many daemons were read
			lastErr = errors.Wrap(err, d.Name)
			continue
		}
		out.daemon[d.PID] = u
	}
	if len(out.daemon) == 0 {
		return out, lastErr
	}
	var st logsvc.Stats
	if err := loadgen.GetJSON(ctx, o.client, o.bed.Log().Control+"/stats", &st); err != nil {
		return out, err
	}
	out.log = LogUsage{Appends: st.Appends, Records: st.Records, Reads: st.Reads, Bytes: st.Bytes}
	return out, nil
}

// readUsage reads the usage of one daemon.
func (o fleetObserver) readUsage(ctx context.Context, d Node) (DaemonUsage, error) {
	u := DaemonUsage{At: time.Now()}
	proc, err := procfs.NewProc(d.PID)
	if err != nil {
		return u, errors.WithStack(err)
	}
	if u.IOBeforeScrape, err = readIO(proc); err != nil {
		return u, err
	}
	page, err := o.fetchMetrics(ctx, d.Control)
	if err != nil {
		return u, err
	}
	if u.IOAfterScrape, err = readIO(proc); err != nil {
		return u, err
	}
	for _, m := range []struct {
		name string
		to   *float64
	}{
		{metricControlIn, &u.ControlIn}, {metricControlOut, &u.ControlOut},
		{metricFramesIn, &u.FramesIn}, {metricFramesOut, &u.FramesOut},
	} {
		value, ok := page[m.name]
		if !ok { // a missing metric must not be reported as a cost of 0
			return u, errors.Errorf("the daemon has no metric %s", m.name)
		}
		*m.to = value
	}
	stat, err := proc.Stat()
	if err != nil {
		return u, errors.WithStack(err)
	}
	status, err := proc.NewStatus()
	if err != nil {
		return u, errors.WithStack(err)
	}
	u.CPU, u.Resident = stat.CPUTime(), float64(status.VmRSS)
	return u, nil
}

// fetchMetrics fetches a metrics page and parses it with parseMetrics.
func (o fleetObserver) fetchMetrics(ctx context.Context, url string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return parseMetrics(io.LimitReader(resp.Body, maxMetricsBytes))
}

// parseMetrics parses a page in the Prometheus text format and returns the value of
// each counter and gauge, summed over its label sets, by name.
func parseMetrics(r io.Reader) (map[string]float64, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, errors.Wrap(err, "parse metrics")
	}
	out := map[string]float64{}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			out[name] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return out, nil
}

// ratesBetween returns the rates between two readings of a fleet. A daemon that is
// not in both of them is left out.
func ratesBetween(before, after fleetReading) Rates {
	var r Rates
	for pid, last := range after.daemon {
		first, ok := before.daemon[pid]
		if !ok {
			continue
		}
		seconds := last.At.Sub(first.At).Seconds()
		r.Daemons++
		r.ControlIn += (last.ControlIn - first.ControlIn) / seconds
		r.ControlOut += (last.ControlOut - first.ControlOut) / seconds
		r.Messages += (last.FramesIn - first.FramesIn + last.FramesOut - first.FramesOut) / seconds
		r.CPU += (last.CPU - first.CPU) / seconds
		r.Resident += last.Resident
		r.AllIn += (last.IOBeforeScrape.Read - first.IOAfterScrape.Read) / seconds
		r.AllOut += (last.IOBeforeScrape.Written - first.IOAfterScrape.Written) / seconds
	}
	if n := float64(r.Daemons); n > 0 {
		for _, v := range []*float64{&r.ControlIn, &r.ControlOut, &r.Messages, &r.CPU, &r.Resident, &r.AllIn, &r.AllOut} {
			*v /= n
		}
	}
	seconds := after.at.Sub(before.at).Seconds()
	r.LogAppends = float64(after.log.Appends-before.log.Appends) / seconds
	r.LogReads = float64(after.log.Reads-before.log.Reads) / seconds
	r.LogBytes = float64(after.log.Bytes-before.log.Bytes) / seconds
	return r
}
