package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"path"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/service"
)

const executionsPath = "/executions"

// ServiceExecutions returns a function for Options.Executions that reads the executions from
// simulated plain services. controls are the base URLs of their control listeners.
func ServiceExecutions(hc *http.Client, controls []string) func(context.Context) ([]Execution, error) {
	return func(ctx context.Context) ([]Execution, error) {
		var out []Execution
		for _, c := range controls {
			var list service.Executions
			if err := GetJSON(ctx, hc, c+executionsPath, &list); err != nil {
				return nil, err
			}
			if list.Total > len(list.Executions) {
				return nil, errors.Errorf("%s lists %d of %d executions", c, len(list.Executions), list.Total)
			}
			for _, x := range list.Executions {
				out = append(out, Execution{Key: path.Base(x.Path), Count: 1})
			}
		}
		return out, nil
	}
}

// GetJSON sends a GET request and decodes the JSON body of the response into v. A status other
// than 200 is an error.
func GetJSON(ctx context.Context, hc *http.Client, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	return doJSON(hc, req, v)
}

// doJSON sends a request and decodes the JSON body of the response into v. A status other than
// 200 is an error.
func doJSON(hc *http.Client, req *http.Request, v any) error {
	resp, err := hc.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", req.URL, resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), req.URL.String())
}
