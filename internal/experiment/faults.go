package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/fault"
)

// healTimeout limits the time for undoing a fault.
const healTimeout = 20 * time.Second

// Fault is a failure that is injected during a segment and undone at its end.
type Fault struct {
	Name string
	// Begin injects the fault and returns a function that undoes it.
	Begin func(ctx context.Context, r *runner) (heal func(context.Context) error, err error)
}

// Faults returns the faults under which arms are compared.
func Faults() []Fault {
	return []Fault{
		{"replica killed", killReplica},
		{"data centre cut", cutDataCentre},
		{"platform down", cutPlatform},
		{"load reports stale", freezeLoadReports},
	}
}

// injectFault injects the fault once the share faultStartShare of the measured time has
// passed and undoes it when ctx ends. It returns an error message for the sample's Note,
// or "" if both succeeded.
func (r *runner) injectFault(ctx context.Context, f *Fault) string {
	delay := r.opts.Warmup + time.Duration(faultStartShare*float64(r.opts.Segment))
	select {
	case <-ctx.Done():
		return f.Name + ": the segment ended before the fault was injected"
	case <-time.After(delay):
	}
	heal, err := f.Begin(ctx, r)
	if err != nil {
		return f.Name + ": " + err.Error()
	}
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), healTimeout)
	defer cancel()
	if err := heal(bounded); err != nil {
		return f.Name + ": undo: " + err.Error()
	}
	return ""
}

// killReplica kills the first decode engine; undoing it starts the engine again.
func killReplica(ctx context.Context, r *runner) (func(context.Context) error, error) {
	for _, n := range r.bed.Engines() {
		if n.Role == bundle.RoleDecode {
			restart := func(ctx context.Context) error { return r.bed.Restart(ctx, n.Name) }
			return restart, r.bed.Kill(ctx, n.Name)
		}
	}
	return nil, errors.New("the fleet has no decode engine")
}

// cutDataCentre cuts the data centre of the last daemon off from the other data centres
// and from the platform.
func cutDataCentre(ctx context.Context, r *runner) (func(context.Context) error, error) {
	daemons := r.bed.Daemons()
	return r.bed.CutDataCentre(ctx, daemons[len(daemons)-1].DataCentre)
}

// cutPlatform cuts every daemon off from the platform.
func cutPlatform(ctx context.Context, r *runner) (func(context.Context) error, error) {
	return r.bed.CutPlatform(ctx)
}

// freezeLoadReports makes every engine repeat its last load report, so that daemons
// route by stale load.
func freezeLoadReports(ctx context.Context, r *runner) (func(context.Context) error, error) {
	heal := func(ctx context.Context) error { return r.setEngineFaults(ctx, engine.Faults{}) }
	return heal, r.setEngineFaults(ctx, engine.Faults{FreezeLoad: true})
}

// setEngineFaults sets the faults of every engine stand-in; the zero value clears
// them.
func (r *runner) setEngineFaults(ctx context.Context, f engine.Faults) error {
	for _, n := range r.bed.Engines() {
		if err := r.postJSON(ctx, n.Control+fault.PathFaults, fault.SetRequest[engine.Faults]{Faults: f}); err != nil {
			return err
		}
	}
	return nil
}

// postJSON sends v to a stand-in's control API and fails unless the status is 2xx.
func (r *runner) postJSON(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
