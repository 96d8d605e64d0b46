package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// Overhead holds the latencies of plain-service calls that went directly to a replica
// and of calls through a daemon.
type Overhead struct {
	// Calls is the number of direct calls, and also the number of calls through a daemon.
	Calls  int               `json:"calls"`
	Direct loadgen.Quantiles `json:"direct"`
	Daemon loadgen.Quantiles `json:"daemon"`
}

// Added returns the latency that the daemon adds, as the difference of the two 99th
// percentiles in milliseconds. It is NaN if nothing was measured.
func (o Overhead) Added() float64 {
	if o.Calls == 0 {
		return math.NaN()
	}
	return o.Daemon.P99 - o.Direct.P99
}

// overheadCalls is the number of direct calls, and also the number of calls through a
// daemon. All calls are sequential.
const overheadCalls = 3000

// measureOverhead times look-ups on an idle fleet, alternately directly at a replica
// of the plain service and through a daemon of the same data centre.
func (r *runner) measureOverhead(ctx context.Context) (Overhead, error) {
	if err := r.prepare(ctx, Arms()[0]); err != nil {
		return Overhead{}, err
	}
	daemon, service := r.bed.Daemons()[0], r.bed.Services()[0]
	team := r.bed.Teams()[0]
	direct, throughDaemon := loadgen.NewLatencyRecorder(), loadgen.NewLatencyRecorder()
	for i := range overheadCalls {
		path := fmt.Sprintf("/status/overhead-%d", i)
		if err := r.timeGet(ctx, direct, service.URL+path, team); err != nil {
			return Overhead{}, err
		}
		if err := r.timeGet(ctx, throughDaemon, daemon.URL+"/services/"+testbed.ServiceName+path, team); err != nil {
			return Overhead{}, err
		}
	}
	return Overhead{Calls: overheadCalls, Direct: direct.Quantiles(), Daemon: throughDaemon.Quantiles()}, nil
}

// timeGet sends a GET request with the team's key and records the time until the
// body has been read.
func (r *runner) timeGet(ctx context.Context, t *loadgen.LatencyRecorder, url string, team loadgen.Team) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+team.Key)
	req.Header.Set("X-Class", string(bundle.Urgent))
	start := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	t.Record(time.Since(start))
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return errors.WithStack(err)
}
