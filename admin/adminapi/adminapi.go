// Package adminapi holds the messages of a daemon's administration interface,
// JSON over HTTP with a bearer token. All durations are in milliseconds and all
// sizes in bytes. No message holds a secret.
package adminapi

// The paths of the interface; all are GET.
const (
	PathBundle    = "/v1/bundle"    // BundleStatus
	PathRequests  = "/v1/requests"  // Requests
	PathUpstreams = "/v1/upstreams" // Upstreams
)

// BundleStatus says which bundle version a daemon has in force.
type BundleStatus struct {
	// Number and Digest name the version; 0 and "" before the first. Digest is hex.
	Number     uint64 `json:"number"`
	Digest     string `json:"digest"`
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
	Ready      bool   `json:"ready"`
}

// Requests lists the requests in flight on a daemon, oldest first.
type Requests struct {
	Instance   string    `json:"instance"`
	DataCentre string    `json:"data_centre"`
	Requests   []Request `json:"requests"`
	// Omitted counts the requests left out because the list is bounded.
	Omitted int `json:"omitted,omitempty"`
}

// Request is one request in flight.
type Request struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// Target is the model or service asked for.
	Target string `json:"target"`
	// Step is where the request is, such as "reserve", "prefill" or "decode".
	Step    string `json:"step"`
	Attempt int    `json:"attempt"`
	// Upstream is the one that works on it now; "" when there is none.
	Upstream string `json:"upstream,omitempty"`
	// Tokens is how many output tokens the caller got.
	Tokens     int   `json:"tokens"`
	AgeMS      int64 `json:"age_ms"`
	DeadlineMS int64 `json:"deadline_ms"` // time left
}

// Upstreams lists the upstreams as a daemon's view shows them, by name.
type Upstreams struct {
	Instance     string     `json:"instance"`
	DataCentre   string     `json:"data_centre"`
	BundleNumber uint64     `json:"bundle_number"`
	Upstreams    []Upstream `json:"upstreams"`
}

// Upstream is one upstream in a daemon's view.
type Upstream struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// State is the bundle's state: "joining", "serving" or "leaving".
	State string `json:"state"`
	// Leaving names the source that told of the leaving first: "bundle",
	// "instances", "upstream" or "peer"; "" when it is not leaving.
	Leaving string `json:"leaving,omitempty"`
	// Health is "ok", "ejected" or "returning".
	Health string `json:"health"`
	Active int    `json:"active"`
	Queued int    `json:"queued"`
	Slots  int    `json:"slots"`
	// LoadAgeMS is the age of the load above; -1 means never heard.
	LoadAgeMS int64 `json:"load_age_ms"`
	// Steward is the daemon that polls it.
	Steward string `json:"steward,omitempty"`
}

// Error is the body of every answer that is not a success.
type Error struct {
	Error string `json:"error"`
}
