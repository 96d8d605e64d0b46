package frontend

import (
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"github.com/corianderturn/corianderturn/errkind"
)

// healthz is the liveness probe. It always succeeds.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = io.WriteString(w, "ok\n")
}

// readyz is the readiness probe of load balancers. Its status is 503 if the daemon is
// not ready.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	ready, reason := s.Ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, reason+"\n")
}

// Ready reports whether the daemon accepts requests, and the reason if it does not.
func (s *Server) Ready() (bool, string) {
	if s.draining.Load() {
		return false, "draining"
	}
	if s.opts.Bundle() == nil {
		return false, "no bundle is in force yet"
	}
	if s.opts.Ready != nil {
		if ok, reason := s.opts.Ready(); !ok {
			return false, reason
		}
	}
	return true, "ready"
}

// tokenResponse is the response to POST /v1/idempotency-tokens.
type tokenResponse struct {
	// Token is a bound token. The caller sends it as the Idempotency-Key of one request.
	Token string `json:"token"`
}

// mintToken is the handler of POST /v1/idempotency-tokens.
func mintToken(x *exchange) *errkind.Error {
	x.target = "idempotency-tokens"
	if x.s.opts.MintToken == nil {
		return errkind.New(errkind.ClaimUnavailable, "this instance issues no tokens")
	}
	if _, err := x.readBody(); err != nil {
		return err
	}
	token, err := x.s.opts.MintToken(x.team)
	if err != nil {
		return err
	}
	x.w.Header().Set("Cache-Control", "no-store")
	x.writeJSON(http.StatusCreated, tokenResponse{Token: token})
	return nil
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of the list.
type modelItem struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Created  int64    `json:"created"`
	OwnedBy  string   `json:"owned_by"`
	Adapters []string `json:"adapters,omitempty"`
}

// listModels is the handler of GET /v1/models.
func listModels(x *exchange) *errkind.Error {
	x.target = "models"
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(x.bundle.Models)) {
		list.Data = append(list.Data, modelItem{
			ID: name, Object: "model", OwnedBy: "corianderturn",
			Adapters: x.bundle.Models[name].Adapters,
		})
	}
	x.writeJSON(http.StatusOK, list)
	return nil
}
