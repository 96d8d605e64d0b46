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

// The daemons' metrics that are read; see docs for their meaning.
const (
	metricControlIn  = "corianderturn_control_received_bytes_total"
	metricControlOut = "corianderturn_control_sent_bytes_total"
	metricFramesIn   = "corianderturn_control_received_frames_total"
	metricFramesOut  = "corianderturn_control_sent_frames_total"
)

// maxMetrics bounds a metrics page, in bytes.
const maxMetrics = 8 << 20

// Usage is what one daemon has used since it started.
type Usage struct {
	At         time.Time
	ControlIn  float64 // bytes from peers
	ControlOut float64
	FramesIn   float64
	FramesOut  float64
	CPU        float64 // seconds of one core
	Resident   float64 // bytes, now
	// Before and After are what the process had read and written, on all its
	// sockets and files, just before and just after its metrics were read.
	Before, After IO
}

// IO is what the kernel counted for a process, in bytes.
type IO struct{ Read, Written float64 }

func readIO(p procfs.Proc) (IO, error) {
	io, err := p.IO()
	return IO{Read: float64(io.RChar), Written: float64(io.WChar)}, errors.WithStack(err)
}

// LogUse is what the log service has done since it started.
type LogUse struct {
	Appends, Records, Reads int
	Bytes                   int64
}

// Rates are the means over the daemons that lived through a window.
type Rates struct {
	Daemons    int     `json:"daemons"`
	ControlIn  float64 `json:"control_in_bytes_per_s"`
	ControlOut float64 `json:"control_out_bytes_per_s"`
	Messages   float64 `json:"messages_per_s"`
	CPU        float64 `json:"cores"`
	Resident   float64 `json:"resident_bytes"`
	// AllIn and AllOut are all bytes of the process, callers' and upstreams'
	// included, without those of the measurement itself.
	AllIn  float64 `json:"all_in_bytes_per_s"`
	AllOut float64 `json:"all_out_bytes_per_s"`
	// LogAppends, LogReads and LogBytes are of the whole fleet.
	LogAppends float64 `json:"log_appends_per_s"`
	LogReads   float64 `json:"log_reads_per_s"`
	LogBytes   float64 `json:"log_bytes_per_s"`
}

// observation is one reading of a whole fleet.
type observation struct {
	at     time.Time
	daemon map[int]Usage // by process id, so that a restarted daemon is another one
	log    LogUse
}

// observer reads the daemons' metrics, the kernel's accounts and the log's counters.
type observer struct {
	bed Bed
	hc  *http.Client
}

func (o observer) read(ctx context.Context) (observation, error) {
	out := observation{at: time.Now(), daemon: map[int]Usage{}}
	var failed error
	for _, d := range o.bed.Daemons() {
		u, err := o.usage(ctx, d)
		if err != nil { // it may be between two lives; Rates.Daemons shows how many were read
			failed = errors.Wrap(err, d.Name)
			continue
		}
		out.daemon[d.PID] = u
	}
	if len(out.daemon) == 0 {
		return out, failed
	}
	var st logsvc.Stats
	if err := loadgen.GetJSON(ctx, o.hc, o.bed.Log().Control+"/stats", &st); err != nil {
		return out, err
	}
	out.log = LogUse{Appends: st.Appends, Records: st.Records, Reads: st.Reads, Bytes: st.Bytes}
	return out, nil
}

func (o observer) usage(ctx context.Context, d Node) (Usage, error) {
	u := Usage{At: time.Now()}
	proc, err := procfs.NewProc(d.PID)
	if err != nil {
		return u, errors.WithStack(err)
	}
	if u.Before, err = readIO(proc); err != nil {
		return u, err
	}
	page, err := o.metrics(ctx, d.Control)
	if err != nil {
		return u, err
	}
	if u.After, err = readIO(proc); err != nil {
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
		if !ok { // a cost of nothing would look measured
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

// metrics returns the sum of each counter of a metrics page over its labels.
func (o observer) metrics(ctx context.Context, url string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := o.hc.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return parseCounters(io.LimitReader(resp.Body, maxMetrics))
}

func parseCounters(r io.Reader) (map[string]float64, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	out := map[string]float64{}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			out[name] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return out, nil
}

// ratesBetween returns the means over the daemons that are in both observations.
func ratesBetween(a, b observation) Rates {
	var r Rates
	for pid, now := range b.daemon {
		was, ok := a.daemon[pid]
		if !ok {
			continue
		}
		seconds := now.At.Sub(was.At).Seconds()
		r.Daemons++
		r.ControlIn += (now.ControlIn - was.ControlIn) / seconds
		r.ControlOut += (now.ControlOut - was.ControlOut) / seconds
		r.Messages += (now.FramesIn - was.FramesIn + now.FramesOut - was.FramesOut) / seconds
		r.CPU += (now.CPU - was.CPU) / seconds
		r.Resident += now.Resident
		r.AllIn += (now.Before.Read - was.After.Read) / seconds
		r.AllOut += (now.Before.Written - was.After.Written) / seconds
	}
	if n := float64(r.Daemons); n > 0 {
		for _, v := range []*float64{&r.ControlIn, &r.ControlOut, &r.Messages, &r.CPU, &r.Resident, &r.AllIn, &r.AllOut} {
			*v /= n
		}
	}
	seconds := b.at.Sub(a.at).Seconds()
	r.LogAppends = float64(b.log.Appends-a.log.Appends) / seconds
	r.LogReads = float64(b.log.Reads-a.log.Reads) / seconds
	r.LogBytes = float64(b.log.Bytes-a.log.Bytes) / seconds
	return r
}
