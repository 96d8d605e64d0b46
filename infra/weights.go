package infra

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// WeightsClient sends requests to the weight store, which limits the request rate and
// may be slow.
type WeightsClient struct{ client client }

// NewWeights returns a client for the weight store at baseURL. If hc is nil, it uses
// http.DefaultClient.
func NewWeights(baseURL string, hc *http.Client) *WeightsClient {
	return &WeightsClient{client: newClient(baseURL, hc)}
}

// Exists reports whether the store has a version of a model. It downloads no weights.
func (w *WeightsClient) Exists(ctx context.Context, model, version string) (bool, error) {
	const op = "weights"
	resp, err := w.client.do(ctx, op, http.MethodHead, weightsPath(model, version), nil)
	if err != nil {
		return false, err
	}
	if resp.status == http.StatusNotFound {
		return false, nil
	}
	if resp.status >= http.StatusMultipleChoices {
		return false, refusalError(op, resp)
	}
	return true, nil
}

func weightsPath(model, version string) string {
	path := strings.Replace(infraapi.PathWeights, ":model", url.PathEscape(model), 1)
	return strings.Replace(path, ":version", url.PathEscape(version), 1)
}
