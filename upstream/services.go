package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/httpsem"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// HeaderRequestID carries the request's id to plain services. A service may
// repeat it in its answer, which is then checked.
const HeaderRequestID = "X-Request-Id"

// HeaderLoad is the answer header in which a plain service may report its load;
// loadFormat is its content. It is not passed on to callers.
const (
	HeaderLoad = "X-Load"
	loadFormat = "active=%d slots=%d leaving=%t incarnation=%d seq=%d"
)

// HeaderLimit is the answer header in which a plain service may name its rate limit: the
// requests a second, a decimal number, that the replica takes from all daemons. It holds until
// an answer names another one, or none.
const HeaderLimit = "X-Rate-Limit"

// DefaultMaxAnswer is the default bound of a plain service's answer, in bytes.
const DefaultMaxAnswer = 8 << 20

// ServiceCall is one HTTP call to a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	// Path is the path with the raw query; it starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Upstream is the name of the replica that is meant, and Deadline when nobody waits
	// any more, for transports that carry them.
	Upstream string
	Deadline time.Time
	// Once forbids net/http to send the call again by itself, also for a safe method.
	Once bool
}

// ServiceAnswer is a whole answer, of any status.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Load is what HeaderLoad told; nil when it was absent.
	Load *engineapi.Load
}

// Services calls plain services.
type Services struct {
	hc        *http.Client
	maxAnswer int64
	notices   Notices
}

// NewServices returns a client; hc should come from NewHTTPClient. Answers are
// bounded by DefaultMaxAnswer. Notices hears what answers say of limits.
func NewServices(hc *http.Client, notices Notices) *Services {
	return &Services{hc: hc, maxAnswer: DefaultMaxAnswer, notices: notices}
}

// Call sends c once to addr, host:port, and returns the whole answer. An answer
// that may be cut short, is too long or names another request is an error
// with Delivery Maybe.
func (s *Services) Call(ctx context.Context, addr string, c ServiceCall) (*ServiceAnswer, error) {
	req, err := serviceRequest(ctx, addr, c)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	resp, err := roundTrip(s.hc, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	came := time.Now()
	body, err := readBounded(resp.Body, s.maxAnswer)
	if err == nil {
		err = checkAnswer(resp, c)
	}
	s.notices.Noticed(NoticeOf(c.Upstream, sent, came, resp.Header.Values(HeaderLimit), err == nil && resp.StatusCode/100 == 2))
	if err != nil {
		return nil, &CallError{Delivery: Maybe, Status: resp.StatusCode, cause: err}
	}
	if r := serviceRefusal(resp.StatusCode, body); r != nil {
		return nil, &CallError{Delivery: Refused, Status: resp.StatusCode, Refusal: r}
	}
	h := resp.Header.Clone()
	httpsem.RemoveHopByHop(h)
	h.Del(HeaderLoad)
	h.Del(HeaderLimit)
	return &ServiceAnswer{Status: resp.StatusCode, Header: h, Body: body, Load: parseLoadHeader(resp.Header)}, nil
}

// serviceRefusal returns the refusal that a 503 carries, or nil when the answer
// is the service's own. Only a body that has both the reason and the leaving
// member of engineapi.Refusal counts: a 503 of the service's own making may
// come after half the work.
func serviceRefusal(status int, body []byte) *engineapi.Refusal {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	var shape struct {
		Reason  string `json:"reason"`
		Leaving *bool  `json:"leaving"`
	}
	var r engineapi.Refusal
	if json.Unmarshal(body, &shape) != nil || shape.Reason == "" || shape.Leaving == nil {
		return nil
	}
	if json.Unmarshal(body, &r) != nil {
		return nil
	}
	return &r
}

func parseLoadHeader(h http.Header) *engineapi.Load {
	var l engineapi.Load
	_, err := fmt.Sscanf(h.Get(HeaderLoad), loadFormat, &l.Active, &l.Slots, &l.Leaving, &l.Incarnation, &l.Seq)
	if err != nil {
		return nil
	}
	return &l
}

func serviceRequest(ctx context.Context, addr string, c ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+c.Path, http.NoBody)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.WithStack(err)}
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	httpsem.RemoveHopByHop(req.Header)
	req.Header.Set(HeaderRequestID, c.RequestID)
	if len(c.Body) > 0 || c.Once || (!httpsem.Safe(c.Method) && namesKey(req.Header)) {
		once(req, bytes.NewReader(c.Body), int64(len(c.Body)))
	}
	return req, nil
}

// namesKey says whether h holds a header by which net/http takes a request for
// replayable whatever its method.
func namesKey(h http.Header) bool {
	return len(h.Values("Idempotency-Key")) > 0 || len(h.Values("X-Idempotency-Key")) > 0
}

// checkAnswer refuses an answer that is not certain to be whole and its own.
//
// An answer without a length ends with its connection, so a service that dies
// while it writes looks like one that finished. And a service that answers
// twice on a kept connection makes the second answer look like that of the
// next request. The first shows as a missing length, the second as another
// request's id.
func checkAnswer(resp *http.Response, c ServiceCall) error {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != c.RequestID {
		return errors.Errorf("answer belongs to request %q", id)
	}
	if !hasBody(resp, c.Method) || resp.ContentLength >= 0 {
		return nil
	}
	if !slices.Contains(resp.TransferEncoding, "chunked") {
		return errors.New("answer has neither a length nor chunks")
	}
	return nil
}

func hasBody(resp *http.Response, method string) bool {
	return method != http.MethodHead &&
		resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified
}
