package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/fault"
)

// SetFaults sets the faults that a stand-in injects. F is the Faults type of the
// stand-in's package. times is the number of calls that are affected; 0 means no
// limit.
func SetFaults[F any](ctx context.Context, p *Process, faults F, times int) error {
	return p.control(ctx, http.MethodPost, fault.PathFaults, fault.SetRequest[F]{Faults: faults, Times: times}, nil)
}

// Stats reads a stand-in's statistics into out, a pointer to the Stats type of the
// stand-in's package.
func (p *Process) Stats(ctx context.Context, out any) error {
	return p.control(ctx, http.MethodGet, fault.PathStats, nil, out)
}

// Get reads any other path of a stand-in's control API, such as /executions.
func (p *Process) Get(ctx context.Context, path string, out any) error {
	return p.control(ctx, http.MethodGet, path, nil, out)
}

// Post sends a POST request to any other path of a stand-in's control API, such as
// /crash. body may be nil.
func (p *Process) Post(ctx context.Context, path string, body any) error {
	return p.control(ctx, http.MethodPost, path, body, nil)
}

// control sends a request to the process's control API.
func (p *Process) control(ctx context.Context, method, path string, body, out any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.WithStack(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Control+path, bytes.NewReader(data))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(doJSON(req, out), p.Name)
}

// Admin reads a path of the daemon's administration API into out. Package adminapi
// defines the paths and types.
func (d *Daemon) Admin(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.AdminAddress+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+d.AdminToken)
	return errors.Wrap(doJSON(req, out), d.Name)
}

// doJSON sends req and decodes the body of a successful response into out, which
// may be nil.
func doJSON(req *http.Request, out any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, req.URL.Path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s: status %d: %s", req.URL.Path, resp.StatusCode, answer)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, out), req.URL.Path)
}
