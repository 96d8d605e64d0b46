// Package adminapi defines the messages of a daemon's administration interface, JSON
// over HTTP with a bearer token. All durations are in milliseconds and all sizes in
// bytes. No message contains a secret.
package adminapi

// Paths that are read by GET, each with the type of its response.
const (
	PathBundle    = "/v1/bundle"    // BundleStatus
	PathRequests  = "/v1/requests"  // Requests
	PathUpstreams = "/v1/upstreams" // Upstreams
)

// BundleStatus is the bundle version in force on a daemon, and whether the daemon is
// ready.
type BundleStatus struct {
	// Number and Digest identify the version; they are 0 and "" before the first
	// bundle. Digest is in hexadecimal.
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
	// Omitted is the number of requests in flight that are missing from the list,
	// which has a maximum length.
	Omitted int `json:"omitted,omitempty"`
}

// Request is one request in flight.
type Request struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// Target is the requested model or service.
	Target string `json:"target"`
	// Step is the current step of the request, such as "reserve", "prefill" or
	// "decode".
	Step    string `json:"step"`
	Attempt int    `json:"attempt"`
	// Upstream is the upstream that currently runs the request; "" if none does.
	Upstream string `json:"upstream,omitempty"`
	// Tokens is the number of output tokens sent to the caller.
	Tokens     int   `json:"tokens"`
	AgeMS      int64 `json:"age_ms"`
	DeadlineMS int64 `json:"deadline_ms"` // time until the deadline
}

// Upstreams lists the upstreams in a daemon's view, ordered by name.
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
	// State is the state in the bundle: "joining", "serving" or "leaving".
	State string `json:"state"`
	// Leaving is the source that first reported that the upstream is leaving:
	// "bundle", "instances", "upstream" or "peer"; "" if it is not leaving.
	Leaving string `json:"leaving,omitempty"`
	// Health is "ok", "ejected" or "returning".
	Health string `json:"health"`
	Active int    `json:"active"`
	Queued int    `json:"queued"`
	Slots  int    `json:"slots"`
	// LoadAgeMS is the age of Active, Queued and Slots; -1 means that no load report
	// has been received.
	LoadAgeMS int64 `json:"load_age_ms"`
	// Steward is the daemon that polls the upstream.
	Steward string `json:"steward,omitempty"`
}

// Error is the body of all error responses.
type Error struct {
	Error string `json:"error"`
}
