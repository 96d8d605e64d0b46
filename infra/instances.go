package infra

import (
	"context"
	"net/http"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// InstancesClient reads the platform's list of live and leaving instances,
// which lags: an entry is a hint, never a proof of life or death.
type InstancesClient struct{ c client }

// NewInstances returns a client of the list at baseURL; a nil client means
// http.DefaultClient.
func NewInstances(baseURL string, hc *http.Client) *InstancesClient {
	return &InstancesClient{c: newClient(baseURL, hc)}
}

// List returns the list as the platform knows it.
func (i *InstancesClient) List(ctx context.Context) ([]infraapi.Instance, error) {
	const op = "list"
	a, err := i.c.do(ctx, op, http.MethodGet, infraapi.PathInstances, nil)
	if err != nil {
		return nil, err
	}
	if a.status >= http.StatusMultipleChoices {
		return nil, refused(op, a)
	}
	var reply infraapi.InstancesReply
	if err := decode(op, a, &reply); err != nil {
		return nil, err
	}
	return reply.Instances, nil
}
