package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/internal/httpsem"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// HeaderRequestID is the header with the request's id in calls to plain services. A
// service may send it back; a response with another id is rejected, and a refusal counts only
// with the id.
const HeaderRequestID = "X-Request-Id"

// HeaderLoad is the response header in which a plain service may report its load, in
// loadFormat. It is not passed on to callers.
const (
	HeaderLoad = "X-Load"
	loadFormat = "active=%d slots=%d leaving=%t incarnation=%d seq=%d"
)

// HeaderRateLimit is the response header in which a plain service may state the rate limit of the
// replica: a decimal number of requests per second from all daemons together. The limit
// applies until a response states another one or has no such header.
const HeaderRateLimit = "X-Rate-Limit"

// DefaultMaxResponseBytes is the largest body of a plain service's response, in bytes.
const DefaultMaxResponseBytes = 8 << 20

// ServiceCall is one HTTP call to a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	// Path is the path with the raw query. It starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Upstream is the name of the replica that the call is for. Deadline is when the caller
	// stops waiting for the response. Some clients send both in the request's header.
	Upstream string
	Deadline time.Time
	// NoReplay keeps net/http from sending the call a second time by itself, even if the method
	// is safe.
	NoReplay bool
}

// ServiceResponse is a complete response, with any status.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Load is the load that the response reports; nil if it reports none.
	Load *engineapi.Load
}

// Services is a client of plain services, which are those without model engines.
type Services struct {
	hc             *http.Client
	maxAnswerBytes int64
	notices        RateLimitObserver
	available      Availability
	onLimit        OnAnswerLimit
}

// NewServices returns a client that sends its requests with hc, which should come from
// NewHTTPClient or NewHTTPClientWith. The rate limits that responses state are reported
// to notices.
func NewServices(hc *http.Client, notices RateLimitObserver) *Services {
	return &Services{hc: hc, maxAnswerBytes: DefaultMaxResponseBytes, notices: notices, available: AlwaysAvailable{}, onLimit: ignoreLimit}
}

// WithAvailability sets what is told of the availability of replicas and says which calls may be sent.
// It must be called before the first call.
func (s *Services) WithAvailability(a Availability) *Services {
	s.available = a
	return s
}

// OnLimit sets what is called for an answer that exceeds a bound. It must be called before the first call.
func (s *Services) OnLimit(f OnAnswerLimit) *Services {
	s.onLimit = f
	return s
}

// send sends the request of c unless its replica wants none, and passes on what the response states of
// the replica's availability.
func (s *Services) send(req *http.Request, c ServiceCall) (*http.Response, error) {
	identity := Identity{Header: HeaderRequestID, ID: c.RequestID, Optional: true}
	resp, err := RoundTripIf(s.hc, req, identity, s.available, c.Upstream, availability.NewWork)
	if err == nil {
		s.available.ObserveAvailability(NewAvailabilityNotice(c.Upstream, time.Now(), resp, nil))
	}
	return resp, err
}

// Call sends c once to the replica at addr, which is host:port, and returns the complete
// response. A response that may be truncated, exceeds DefaultMaxResponseBytes or has the id of
// another request gives an error with Delivery Maybe.
func (s *Services) Call(ctx context.Context, addr string, c ServiceCall) (*ServiceResponse, error) {
	req, err := newServiceRequest(ctx, addr, c)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	resp, err := s.send(req, c)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	received := time.Now()
	body, err := s.readAnswer(ctx, resp, c.Upstream)
	if err == nil {
		err = ConfirmEnd(resp, nil)
	}
	s.notices.ObserveRateLimit(NewRateLimitNotice(c.Upstream, sent, received, resp.Header.Values(HeaderRateLimit), err == nil && resp.StatusCode/100 == 2))
	if err != nil {
		return nil, &CallError{Delivery: Maybe, Status: resp.StatusCode, cause: err}
	}
	if r := serviceRefusal(resp.StatusCode, body); r != nil && resp.Header.Get(HeaderRequestID) == c.RequestID {
		s.available.ObserveAvailability(refusalNotice(c.Upstream, received, r))
		return nil, &CallError{Delivery: Refused, Status: resp.StatusCode, Refusal: r}
	}
	h := resp.Header.Clone()
	httpsem.RemoveHopByHop(h)
	h.Del(HeaderLoad)
	h.Del(HeaderRateLimit)
	return &ServiceResponse{Status: resp.StatusCode, Header: h, Body: body, Load: parseLoadHeader(resp.Header)}, nil
}

// readAnswer reads the body of a response of a replica. Its memory is taken from the lease of ctx.
func (s *Services) readAnswer(ctx context.Context, resp *http.Response, replica string) ([]byte, error) {
	var timeout time.Duration
	if resp.StatusCode >= http.StatusInternalServerError {
		timeout = ErrorAnswerTimeout
	}
	body, err := readBounded(resp, s.maxAnswerBytes, timeout, answers.FromContext(ctx), replica)
	if answers.IsLimit(err) {
		s.onLimit(replica, err)
	}
	return body, err
}

// serviceRefusal returns the refusal in the body of a 503 response, or nil if there is none.
// The body must have both the members "reason" and "leaving" of engineapi.Refusal. Any other
// 503 may come from the service after it has done part of the work.
func serviceRefusal(status int, body []byte) *engineapi.Refusal {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	var members struct {
		Reason  string `json:"reason"`
		Leaving *bool  `json:"leaving"`
	}
	var r engineapi.Refusal
	if json.Unmarshal(body, &members) != nil || members.Reason == "" || members.Leaving == nil {
		return nil
	}
	if json.Unmarshal(body, &r) != nil {
		return nil
	}
	return &r
}

// parseLoadHeader parses HeaderLoad; it returns nil if the header is missing or malformed.
func parseLoadHeader(h http.Header) *engineapi.Load {
	var l engineapi.Load
	_, err := fmt.Sscanf(h.Get(HeaderLoad), loadFormat, &l.Active, &l.Slots, &l.Leaving, &l.Incarnation, &l.Seq)
	if err != nil {
		return nil
	}
	return &l
}

// newServiceRequest builds the HTTP request of c.
func newServiceRequest(ctx context.Context, addr string, c ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+c.Path, http.NoBody)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.WithStack(err)}
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	httpsem.RemoveHopByHop(req.Header)
	req.Header.Set(HeaderRequestID, c.RequestID)
	if len(c.Body) > 0 || c.NoReplay || (!httpsem.Safe(c.Method) && hasIdempotencyKey(req.Header)) {
		disableReplay(req, c.Body)
	}
	return req, nil
}

// hasIdempotencyKey reports whether h has an idempotency key. net/http then treats the request as
// replayable whatever its method is.
func hasIdempotencyKey(h http.Header) bool {
	return len(h.Values("Idempotency-Key")) > 0 || len(h.Values("X-Idempotency-Key")) > 0
}

// hasBody reports whether a response with this status to this method can have a body.
func hasBody(resp *http.Response, method string) bool {
	return method != http.MethodHead &&
		resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified
}
