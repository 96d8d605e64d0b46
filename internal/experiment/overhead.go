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

// Overhead compares plain-service calls through a daemon with direct ones.
type Overhead struct {
	Calls  int               `json:"calls"`
	Direct loadgen.Quantiles `json:"direct"`
	Daemon loadgen.Quantiles `json:"daemon"`
}

// Added returns the difference of the 99th percentiles, in milliseconds.
func (o Overhead) Added() float64 {
	if o.Calls == 0 {
		return math.NaN()
	}
	return o.Daemon.P99 - o.Direct.P99
}

// overheadCalls is how many calls of each sort are made, one after the other.
const overheadCalls = 3000

// overhead times look-ups of one service replica by turns directly and through a
// daemon of the same data centre, on an idle fleet.
func (b *bench) overhead(ctx context.Context) (Overhead, error) {
	if err := b.prepare(ctx, Arms()[0]); err != nil {
		return Overhead{}, err
	}
	daemon, service := b.bed.Daemons()[0], b.bed.Services()[0]
	team := b.bed.Teams()[0]
	direct, through := loadgen.NewTimer(), loadgen.NewTimer()
	for i := range overheadCalls {
		path := fmt.Sprintf("/status/overhead-%d", i)
		if err := b.timed(ctx, direct, service.URL+path, team); err != nil {
			return Overhead{}, err
		}
		if err := b.timed(ctx, through, daemon.URL+"/services/"+testbed.ServiceName+path, team); err != nil {
			return Overhead{}, err
		}
	}
	return Overhead{Calls: overheadCalls, Direct: direct.Quantiles(), Daemon: through.Quantiles()}, nil
}

func (b *bench) timed(ctx context.Context, t *loadgen.Timer, url string, team loadgen.Team) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+team.Key)
	req.Header.Set("X-Class", string(bundle.Urgent))
	start := time.Now()
	resp, err := b.hc.Do(req)
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
