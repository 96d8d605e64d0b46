package infra

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// WeightsClient asks the weight store, which is rate-limited and may be slow.
type WeightsClient struct{ c client }

// NewWeights returns a client of the store at baseURL; a nil client means
// http.DefaultClient.
func NewWeights(baseURL string, hc *http.Client) *WeightsClient {
	return &WeightsClient{c: newClient(baseURL, hc)}
}

// Exists reports whether the store holds a model's version. It fetches no weights.
func (w *WeightsClient) Exists(ctx context.Context, model, version string) (bool, error) {
	const op = "weights"
	a, err := w.c.do(ctx, op, http.MethodHead, weightsPath(model, version), nil)
	if err != nil {
		return false, err
	}
	if a.status == http.StatusNotFound {
		return false, nil
	}
	if a.status >= http.StatusMultipleChoices {
		return false, refused(op, a)
	}
	return true, nil
}

func weightsPath(model, version string) string {
	path := strings.Replace(infraapi.PathWeights, ":model", url.PathEscape(model), 1)
	return strings.Replace(path, ":version", url.PathEscape(version), 1)
}
