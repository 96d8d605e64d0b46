package adminapi

// Paths of the daemon list and of the drain, with method and response.
const (
	PathMembers = "/v1/members" // GET -> Members
	PathDrain   = "/v1/drain"   // POST -> Draining, status 202
)

// Members lists the daemons in a daemon's view, ordered by name.
type Members struct {
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre"`
	Members    []Member `json:"members"`
}

// Member is one incarnation (process lifetime) of a daemon.
type Member struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	// Liveness is "alive", "suspect", "dead" or "unknown".
	Liveness string `json:"liveness"`
	Draining bool   `json:"draining"`
}

// DrainResponse is the response to a drain request. The daemon has started to drain and
// exits once its requests in flight have finished.
type DrainResponse struct {
	Instance string `json:"instance"`
	InFlight int    `json:"in_flight"`
}
