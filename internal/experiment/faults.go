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

// healBound bounds how long a fault may take to be undone.
const healBound = 20 * time.Second

// Fault is something that fails during a segment and is undone after it.
type Fault struct {
	Name string
	// Begin starts the fault; the function it returns undoes it.
	Begin func(ctx context.Context, b *bench) (heal func(context.Context) error, err error)
}

// Faults returns the faults that are measured.
func Faults() []Fault {
	return []Fault{
		{"replica killed", killReplica},
		{"data centre cut", cutDataCentre},
		{"platform down", cutPlatform},
		{"load reports stale", freezeLoad},
	}
}

// inject begins the fault a while into the measured time, undoes it when ctx
// ends, and returns a note when either failed.
func (b *bench) inject(ctx context.Context, f *Fault) string {
	delay := b.o.Warmup + time.Duration(faultAt*float64(b.o.Segment))
	select {
	case <-ctx.Done():
		return f.Name + ": the segment ended first"
	case <-time.After(delay):
	}
	heal, err := f.Begin(ctx, b)
	if err != nil {
		return f.Name + ": " + err.Error()
	}
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), healBound)
	defer cancel()
	if err := heal(bounded); err != nil {
		return f.Name + ", undoing it: " + err.Error()
	}
	return ""
}

// killReplica kills one decode engine.
func killReplica(ctx context.Context, b *bench) (func(context.Context) error, error) {
	for _, n := range b.bed.Engines() {
		if n.Role == bundle.RoleDecode {
			restart := func(ctx context.Context) error { return b.bed.Restart(ctx, n.Name) }
			return restart, b.bed.Kill(ctx, n.Name)
		}
	}
	return nil, errors.New("no decode engine")
}

func cutDataCentre(ctx context.Context, b *bench) (func(context.Context) error, error) {
	daemons := b.bed.Daemons()
	return b.bed.CutDataCentre(ctx, daemons[len(daemons)-1].DataCentre)
}

func cutPlatform(ctx context.Context, b *bench) (func(context.Context) error, error) {
	return b.bed.CutPlatform(ctx)
}

// freezeLoad makes every engine repeat its last load report.
func freezeLoad(ctx context.Context, b *bench) (func(context.Context) error, error) {
	heal := func(ctx context.Context) error { return b.setFaults(ctx, engine.Faults{}) }
	return heal, b.setFaults(ctx, engine.Faults{FreezeLoad: true})
}

func (b *bench) setFaults(ctx context.Context, f engine.Faults) error {
	for _, n := range b.bed.Engines() {
		if err := b.post(ctx, n.Control+fault.PathFaults, fault.Set[engine.Faults]{Faults: f}); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) post(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := b.hc.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
