package adminapi

// More paths of the interface.
const (
	PathMembers = "/v1/members" // GET -> Members
	PathDrain   = "/v1/drain"   // POST -> Draining, status 202
)

// Members lists the daemons in a daemon's view, by name.
type Members struct {
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre"`
	Members    []Member `json:"members"`
}

// Member is one life of one daemon.
type Member struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	// Liveness is "alive", "suspect", "dead" or "unknown".
	Liveness string `json:"liveness"`
	Draining bool   `json:"draining"`
}

// Draining confirms that a daemon has begun to drain; it ends by itself once
// its requests are answered.
type Draining struct {
	Instance string `json:"instance"`
	InFlight int    `json:"in_flight"`
}
