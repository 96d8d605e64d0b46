package infra

import (
	"context"
	"net/http"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// InstancesClient reads the platform's list of live and leaving instances. The list
// is updated with a delay, so it never proves that an instance is alive or dead.
type InstancesClient struct{ client client }

// NewInstances returns a client for the instance list at baseURL. If hc is nil, it
// uses http.DefaultClient.
func NewInstances(baseURL string, hc *http.Client) *InstancesClient {
	return &InstancesClient{client: newClient(baseURL, hc)}
}

// List returns the platform's instance list.
func (i *InstancesClient) List(ctx context.Context) ([]infraapi.Instance, error) {
	const op = "list"
	resp, err := i.client.do(ctx, op, http.MethodGet, infraapi.PathInstances, nil)
	if err != nil {
		return nil, err
	}
	if resp.status >= http.StatusMultipleChoices {
		return nil, refusalError(op, resp)
	}
	var reply infraapi.InstancesReply
	if err := decodeResponse(op, resp, &reply); err != nil {
		return nil, err
	}
	return reply.Instances, nil
}
