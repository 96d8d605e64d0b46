package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// AvailabilityNotice is what one response of an upstream states about the upstream's availability.
type AvailabilityNotice struct {
	// Upstream is the upstream's name, and Received when its response began to arrive.
	Upstream string
	Received time.Time
	// Leaving is set if the upstream leaves. Rest is the time for which it wants no requests from
	// this daemon; 0 if it states none.
	Leaving bool
	Rest    time.Duration
	// Invalid is the quoted value of a statement that cannot be parsed; empty if there is none.
	Invalid string
}

// NewAvailabilityNotice returns the AvailabilityNotice of a response. leaving are the values of the
// header that says whether the upstream leaves. Retry-After asks for a rest in a response with status
// 503; with another status it is about the one request.
func NewAvailabilityNotice(name string, received time.Time, resp *http.Response, leaving []string) AvailabilityNotice {
	n := AvailabilityNotice{Upstream: name, Received: received}
	for _, text := range leaving {
		leaves, err := strconv.ParseBool(strings.TrimSpace(text))
		if err != nil {
			n.Invalid = strconv.Quote(text)
		}
		n.Leaving = n.Leaving || leaves
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return n
	}
	rest, invalid := httpsem.RetryAfter(resp.Header, received)
	n.Rest = rest
	if invalid != "" {
		n.Invalid = strconv.Quote(invalid)
	}
	return n
}

// Availability is told what responses state about the availability of their upstreams, and says which
// calls may be sent. Implementations must be safe for concurrent use and must not block.
type Availability interface {
	// ObserveAvailability is called once for each response.
	ObserveAvailability(n AvailabilityNotice)
	// Allow returns an error if a call must not be sent to an upstream now. It is asked right before
	// the call is sent.
	Allow(upstream string, use availability.Use) error
}

// AlwaysAvailable is an Availability that ignores notices and allows all calls.
type AlwaysAvailable struct{}

// ObserveAvailability implements Availability.
func (AlwaysAvailable) ObserveAvailability(AvailabilityNotice) {}

// Allow implements Availability.
func (AlwaysAvailable) Allow(string, availability.Use) error { return nil }
