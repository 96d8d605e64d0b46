// Package upstream has the HTTP clients for model engines and for plain services.
// Every error states whether the call may have been delivered (Delivery), because that
// decides whether the call can safely be sent again and what the caller is told. The
// clients keep no state except their connections and are safe for concurrent use.
package upstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// maxReplyBytes is the largest body that is read of an engine's unary response, in bytes.
// The longest response is HeldReply.
const maxReplyBytes = 4 << 20

// maxRefusalBytes is the largest body that is read of a refusal, which holds a reason and some numbers.
const maxRefusalBytes = 64 << 10

// replyTimeout bounds the time in which the body of a unary response arrives after its head. Engines send both at
// once; the longest one takes 4 s on a link of 10 Mbit/s.
const replyTimeout = 5 * time.Second

const contentJSON = "application/json"

// Engines is a client of the model engines. The methods' argument addr is the host:port
// of an engine.
type Engines struct {
	hc *http.Client
	// available is asked and told of the availability of engines, which it knows by their addresses.
	available Availability
	late      LateReplies
	onLimit   OnAnswerLimit
}

// NewEngines returns a client that sends its requests with hc, which should come from
// NewHTTPClient or NewHTTPClientWith. Only the connections of these count what is
// written on them; with any other client, every failure after the dial gives Maybe.
func NewEngines(hc *http.Client) *Engines {
	return &Engines{hc: hc, available: AlwaysAvailable{}, onLimit: ignoreLimit}
}

// WithAvailability sets what is told of the availability of engines and says which calls may be sent.
// It knows engines by their addresses. It must be called before the first call.
func (e *Engines) WithAvailability(a Availability) *Engines {
	e.available = a
	return e
}

// OnLimit sets what is called for an answer that exceeds a bound. It must be called before the first call.
func (e *Engines) OnLimit(f OnAnswerLimit) *Engines {
	e.onLimit = f
	return e
}

// useOf returns what the call of a path is for.
func useOf(path string) availability.Use {
	switch path {
	case engineapi.PathStream, engineapi.PathResume:
		return availability.OngoingWork
	case engineapi.PathCancel, engineapi.PathLoad, engineapi.PathEvents, engineapi.PathHeld, engineapi.PathState:
		return availability.Cleanup
	}
	return availability.NewWork
}

// send sends req unless its engine wants none, and passes on what a refusal states of the engine.
func (e *Engines) send(req *http.Request) (*http.Response, error) {
	addr, use := req.URL.Host, useOf(req.URL.Path)
	identity := Identity{Header: engineapi.HeaderCallID, ID: newCallID(), Optional: true}
	req.Header.Set(identity.Header, identity.ID)
	resp, err := RoundTripIf(e.hc, req, identity, e.available, addr, use)
	if err != nil || resp.StatusCode == http.StatusOK {
		return resp, err
	}
	received := time.Now()
	ce := statusError(resp)
	go Drain(resp.Body) // what is left of it
	if ce.Status == http.StatusServiceUnavailable {
		e.available.ObserveAvailability(refusalNotice(addr, received, ce.Refusal))
	}
	return nil, ce
}

// newCallID returns a random id of a call.
func newCallID() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

// refusalNotice returns what a refusal with status 503 states of the availability of its upstream.
func refusalNotice(name string, received time.Time, r *engineapi.Refusal) AvailabilityNotice {
	n := AvailabilityNotice{Upstream: name, Received: received}
	if r.AsksForRest() {
		n.Rest = time.Duration(min(r.RetryAfterMS, availability.MaxRest.Milliseconds())) * time.Millisecond
	}
	return n
}

// Reserve reserves a slot on a decode engine. A reservation that is granted after ctx has ended is not freed
// here: the caller cancels its work.
func (e *Engines) Reserve(ctx context.Context, addr string, r engineapi.ReserveRequest) (engineapi.ReserveReply, error) {
	return AwaitReply(ctx, &e.late, func(ctx context.Context) (engineapi.ReserveReply, error) {
		return post[engineapi.ReserveReply](ctx, e, addr, engineapi.PathReserve, r)
	}, nil)
}

// Prefill has an engine compute the KV cache of a prompt. It returns when the cache is
// ready for export.
func (e *Engines) Prefill(ctx context.Context, addr string, r engineapi.PrefillRequest) (engineapi.PrefillReply, error) {
	return post[engineapi.PrefillReply](ctx, e, addr, engineapi.PathPrefill, r)
}

// Cancel cancels the work on an engine and frees its memory. A nil error means that the
// engine acknowledged the cancel.
func (e *Engines) Cancel(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	return post[engineapi.CancelReply](ctx, e, addr, engineapi.PathCancel, engineapi.CancelRequest{WorkID: w})
}

// Release frees the memory that the engine holds for an attempt. It is the same as Cancel;
// the handle and reservation in r are not needed, because the engine finds them by WorkID.
func (e *Engines) Release(ctx context.Context, addr string, r engineapi.CancelRequest) error {
	_, err := e.Cancel(ctx, addr, r.WorkID)
	return err
}

// Unpause continues the generation of paused work. A nil error means that the engine
// acknowledged it.
func (e *Engines) Unpause(ctx context.Context, addr string, r engineapi.CancelRequest) error {
	_, err := e.Resume(ctx, addr, r.WorkID)
	return err
}

// Pause suspends the generation of the work. The engine keeps the work's memory.
func (e *Engines) Pause(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	return post[engineapi.CancelReply](ctx, e, addr, engineapi.PathPause, engineapi.CancelRequest{WorkID: w})
}

// Resume continues the generation of paused work.
func (e *Engines) Resume(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	return post[engineapi.CancelReply](ctx, e, addr, engineapi.PathResume, engineapi.CancelRequest{WorkID: w})
}

// Held returns a list of the memory that an engine holds for requests.
func (e *Engines) Held(ctx context.Context, addr string) (engineapi.HeldReply, error) {
	return get[engineapi.HeldReply](ctx, e, addr, engineapi.PathHeld, nil)
}

// Load returns an engine's report of its load, which lags behind the real load.
func (e *Engines) Load(ctx context.Context, addr string) (engineapi.Load, error) {
	return get[engineapi.Load](ctx, e, addr, engineapi.PathLoad, nil)
}

// Events returns the cache events whose sequence numbers are at least from.
func (e *Engines) Events(ctx context.Context, addr string, from uint64) (engineapi.EventsReply, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}}
	return get[engineapi.EventsReply](ctx, e, addr, engineapi.PathEvents, q)
}

// Order sends an order to an engine. An engine that rejects the order because of an
// outdated fencing token responds with Accepted set to false or with a refusal.
func (e *Engines) Order(ctx context.Context, addr string, o engineapi.Order) (engineapi.OrderReply, error) {
	return post[engineapi.OrderReply](ctx, e, addr, engineapi.PathOrders, o)
}

// State returns the role, models and adapters that an engine serves now.
func (e *Engines) State(ctx context.Context, addr string) (engineapi.State, error) {
	return get[engineapi.State](ctx, e, addr, engineapi.PathState, nil)
}

// Decode starts the generation and returns its stream, which the caller must close.
func (e *Engines) Decode(ctx context.Context, addr string, r engineapi.DecodeRequest) (ChunkStream, error) {
	req, err := newPostRequest(ctx, addr, engineapi.PathDecode, r)
	if err != nil {
		return nil, err
	}
	return openStream(e, req, r.MaxTokens)
}

// Stream attaches again to the stream of a running attempt, starting at the token with
// index from. The caller must close the returned stream.
func (e *Engines) Stream(ctx context.Context, addr string, w engineapi.WorkID, from int) (ChunkStream, error) {
	q := url.Values{
		"request": {w.RequestID},
		"attempt": {strconv.Itoa(w.Attempt)},
		"from":    {strconv.Itoa(from)},
	}
	req, err := newGetRequest(ctx, addr, engineapi.PathStream, q)
	if err != nil {
		return nil, err
	}
	return openStream(e, req, 0)
}

// openStream sends req and returns the stream in its response, of at most maxTokens tokens; 0 means that the
// number is unknown.
func openStream(e *Engines, req *http.Request, maxTokens int) (ChunkStream, error) {
	resp, err := e.send(req)
	if err != nil {
		return nil, err
	}
	engine := req.URL.Host
	s := newStream(resp.Body, NewStreamMeter(maxTokens, answers.FromContext(req.Context()), engine))
	s.engine, s.onLimit = engine, e.onLimit
	return s, nil
}

func post[T any](ctx context.Context, e *Engines, addr, path string, msg any) (T, error) {
	req, err := newPostRequest(ctx, addr, path, msg)
	if err != nil {
		var zero T
		return zero, err
	}
	return unary[T](e, req)
}

func get[T any](ctx context.Context, e *Engines, addr, path string, q url.Values) (T, error) {
	req, err := newGetRequest(ctx, addr, path, q)
	if err != nil {
		var zero T
		return zero, err
	}
	return unary[T](e, req)
}

func newPostRequest(ctx context.Context, addr, path string, msg any) (*http.Request, error) {
	body, err := json.Marshal(msg)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.Wrap(err, "encode")}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, http.NoBody)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.WithStack(err)}
	}
	disableReplay(req, body)
	req.Header.Set("Content-Type", contentJSON)
	return req, nil
}

func newGetRequest(ctx context.Context, addr, path string, q url.Values) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.WithStack(err)}
	}
	return req, nil
}

// RoundTrip sends req, whose body should be set with SetBody. A failure is returned as a
// *CallError with its Delivery. RoundTrip is for packages that have clients of their own
// for other interfaces. The Delivery can only be NotSent if hc comes from this package.
//
// The response is certain to be the one to this request, so that what it says of the request's delivery
// can be believed: it has the id of the request, and if it states that the request was not run, its connection
// has carried no other one with that id. Any other response gives an error with Delivery Maybe, and its
// connection is closed.
func RoundTrip(hc *http.Client, req *http.Request, identity Identity) (*http.Response, error) {
	for {
		conns := connTracker{identity: identity}
		resp, err := hc.Do(req.WithContext(conns.withTrace(req.Context())))
		if !conns.metRejected() || !conns.nothingWritten() || !rewind(req) {
			return conns.result(resp, err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// RoundTripIf is RoundTrip for a request that is sent only if available allows it, and else fails with
// CallError.Withheld. The request may have to wait for others to the same address; available is asked
// before and after that.
func RoundTripIf(hc *http.Client, req *http.Request, identity Identity, available Availability, name string, use availability.Use) (*http.Response, error) {
	permit := func() error {
		if err := available.Allow(name, use); err != nil {
			return &CallError{Delivery: NotSent, Withheld: true, cause: err}
		}
		return nil
	}
	// Calls for ongoing work are counted, so that they are asked about once.
	if use != availability.OngoingWork {
		if err := permit(); err != nil {
			return nil, err
		}
	}
	return RoundTrip(hc, req.WithContext(withPermit(req.Context(), permit)), identity)
}

// SetBody sets the body of req and keeps net/http from sending the request a second time,
// also if the body is empty.
func SetBody(req *http.Request, body []byte) {
	disableReplay(req, body)
}

// unary sends req and decodes the JSON body of the response.
func unary[T any](e *Engines, req *http.Request) (T, error) {
	var out T
	resp, err := e.send(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	body, err := readBounded(resp, maxReplyBytes, replyTimeout, answers.FromContext(req.Context()), req.URL.Host)
	if answers.IsLimit(err) {
		e.onLimit(req.URL.Host, err)
	}
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	if err != nil {
		return out, &CallError{Delivery: Maybe, Status: resp.StatusCode, cause: errors.Wrap(err, "read response")}
	}
	return out, nil
}

// statusError converts a response with a status other than 200 to an error. The error has
// the Delivery Refused only if the status is one of a refusal and the body is a valid
// Refusal, because a proxy may also respond with 503 after it forwarded the call.
func statusError(resp *http.Response) *CallError {
	ce := &CallError{Delivery: Maybe, Status: resp.StatusCode, cause: errors.New(resp.Status)}
	if !isRefusalStatus(resp.StatusCode) {
		return ce // known from the head
	}
	body, err := readBounded(resp, maxRefusalBytes, ErrorAnswerTimeout, nil, "")
	if err != nil {
		return ce
	}
	var r engineapi.Refusal
	if json.Unmarshal(body, &r) == nil && r.Reason != "" {
		ce.Delivery = Refused
		ce.Refusal = &r
	}
	return ce
}

// readBounded reads the body of a response, whose memory is taken from lease in the name of an upstream. It fails if the
// body is longer than limit, in bytes, and if it does not arrive in time, unless timeout is 0.
func readBounded(resp *http.Response, limit int64, timeout time.Duration, lease *answers.Lease, upstream string) ([]byte, error) {
	if resp.Body == http.NoBody { // the response to HEAD may state a length all the same
		return nil, nil
	}
	expired := func() bool { return false }
	if timeout > 0 {
		expired = CloseAfter(resp.Body, timeout)
	}
	body, err := answers.Read(resp.Body, resp.ContentLength, limit, lease, upstream)
	if late := expired(); late && err != nil {
		return nil, errors.Errorf("response did not arrive within %s", timeout)
	}
	return body, err
}
