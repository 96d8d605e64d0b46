// Package upstream holds the clients of engines and of plain services. Every
// failure says whether the call may have been delivered (Delivery), which is
// what the callers' promises rest on. The clients keep no state but their
// connections and are safe for concurrent use.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// maxReply bounds the body of an engine's unary answer, in bytes. The longest
// is HeldReply.
const maxReply = 4 << 20

const contentJSON = "application/json"

// Engines calls engines at the addresses given, host:port.
type Engines struct{ hc *http.Client }

// NewEngines returns a client; hc should come from NewHTTPClient, and with any
// other client every failure after the dial counts as Maybe.
func NewEngines(hc *http.Client) *Engines { return &Engines{hc: hc} }

// Reserve asks a decode engine for a slot.
func (e *Engines) Reserve(ctx context.Context, addr string, r engineapi.ReserveRequest) (engineapi.ReserveReply, error) {
	return post[engineapi.ReserveReply](ctx, e.hc, addr, engineapi.PathReserve, r)
}

// Prefill computes the KV cache of a prompt and returns when it can be exported.
func (e *Engines) Prefill(ctx context.Context, addr string, r engineapi.PrefillRequest) (engineapi.PrefillReply, error) {
	return post[engineapi.PrefillReply](ctx, e.hc, addr, engineapi.PathPrefill, r)
}

// Cancel frees what the engine holds for the work; no error means acknowledged.
func (e *Engines) Cancel(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	return post[engineapi.CancelReply](ctx, e.hc, addr, engineapi.PathCancel, engineapi.CancelRequest{WorkID: w})
}

// Release frees what the engine holds for the attempt, which it knows by the work.
func (e *Engines) Release(ctx context.Context, addr string, r engineapi.CancelRequest) error {
	_, err := e.Cancel(ctx, addr, r.WorkID)
	return err
}

// Unpause lets paused work generate again; no error means acknowledged.
func (e *Engines) Unpause(ctx context.Context, addr string, r engineapi.CancelRequest) error {
	_, err := e.Resume(ctx, addr, r.WorkID)
	return err
}

// Pause stops generation of the work; its memory is kept.
func (e *Engines) Pause(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	return post[engineapi.CancelReply](ctx, e.hc, addr, engineapi.PathPause, engineapi.CancelRequest{WorkID: w})
}

// Resume lets paused work generate again.
func (e *Engines) Resume(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error) {
	return post[engineapi.CancelReply](ctx, e.hc, addr, engineapi.PathResume, engineapi.CancelRequest{WorkID: w})
}

// Held lists the memory an engine holds.
func (e *Engines) Held(ctx context.Context, addr string) (engineapi.HeldReply, error) {
	return get[engineapi.HeldReply](ctx, e.hc, addr, engineapi.PathHeld, nil)
}

// Load returns an engine's lagged view of its load.
func (e *Engines) Load(ctx context.Context, addr string) (engineapi.Load, error) {
	return get[engineapi.Load](ctx, e.hc, addr, engineapi.PathLoad, nil)
}

// Events returns cache events from sequence number from on.
func (e *Engines) Events(ctx context.Context, addr string, from uint64) (engineapi.EventsReply, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}}
	return get[engineapi.EventsReply](ctx, e.hc, addr, engineapi.PathEvents, q)
}

// Order sends an order. An engine that refuses an old fence answers with
// Accepted false or with a refusal.
func (e *Engines) Order(ctx context.Context, addr string, o engineapi.Order) (engineapi.OrderReply, error) {
	return post[engineapi.OrderReply](ctx, e.hc, addr, engineapi.PathOrders, o)
}

// State returns what an engine serves now.
func (e *Engines) State(ctx context.Context, addr string) (engineapi.State, error) {
	return get[engineapi.State](ctx, e.hc, addr, engineapi.PathState, nil)
}

// Decode starts generation and returns its stream. Close the stream.
func (e *Engines) Decode(ctx context.Context, addr string, r engineapi.DecodeRequest) (ChunkStream, error) {
	req, err := postRequest(ctx, addr, engineapi.PathDecode, r)
	if err != nil {
		return nil, err
	}
	return openStream(e.hc, req)
}

// Stream attaches again to a running attempt's stream, from a token index on.
func (e *Engines) Stream(ctx context.Context, addr string, w engineapi.WorkID, from int) (ChunkStream, error) {
	q := url.Values{
		"request": {w.RequestID},
		"attempt": {strconv.Itoa(w.Attempt)},
		"from":    {strconv.Itoa(from)},
	}
	req, err := getRequest(ctx, addr, engineapi.PathStream, q)
	if err != nil {
		return nil, err
	}
	return openStream(e.hc, req)
}

func openStream(hc *http.Client, req *http.Request) (ChunkStream, error) {
	resp, err := roundTrip(hc, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return newStream(resp.Body), nil
}

func post[T any](ctx context.Context, hc *http.Client, addr, path string, msg any) (T, error) {
	req, err := postRequest(ctx, addr, path, msg)
	if err != nil {
		var zero T
		return zero, err
	}
	return unary[T](hc, req)
}

func get[T any](ctx context.Context, hc *http.Client, addr, path string, q url.Values) (T, error) {
	req, err := getRequest(ctx, addr, path, q)
	if err != nil {
		var zero T
		return zero, err
	}
	return unary[T](hc, req)
}

func postRequest(ctx context.Context, addr, path string, msg any) (*http.Request, error) {
	body, err := json.Marshal(msg)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.Wrap(err, "encode")}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, http.NoBody)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.WithStack(err)}
	}
	once(req, bytes.NewReader(body), int64(len(body)))
	req.Header.Set("Content-Type", contentJSON)
	return req, nil
}

func getRequest(ctx context.Context, addr, path string, q url.Values) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, &CallError{Delivery: NotSent, cause: errors.WithStack(err)}
	}
	return req, nil
}

// RoundTrip sends req, whose body should come from SetBody, and types its failure.
// It is for clients of other interfaces than this package's; hc must come from
// this package for a failure to count as NotSent.
func RoundTrip(hc *http.Client, req *http.Request) (*http.Response, error) { return roundTrip(hc, req) }

// SetBody sets a body that net/http sends once at most, also when it is empty.
func SetBody(req *http.Request, body []byte) { once(req, bytes.NewReader(body), int64(len(body))) }

// roundTrip sends req and types its failure.
func roundTrip(hc *http.Client, req *http.Request) (*http.Response, error) {
	var s sent
	resp, err := hc.Do(req.WithContext(s.trace(req.Context())))
	if err == nil {
		return resp, nil
	}
	d := Maybe
	if s.nothing() {
		d = NotSent
	}
	return nil, &CallError{Delivery: d, cause: err}
}

func unary[T any](hc *http.Client, req *http.Request) (T, error) {
	var out T
	resp, err := roundTrip(hc, req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, statusError(resp)
	}
	body, err := readBounded(resp.Body, maxReply)
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	if err != nil {
		return out, &CallError{Delivery: Maybe, Status: resp.StatusCode, cause: errors.Wrap(err, "read answer")}
	}
	return out, nil
}

// statusError types an answer other than 200. Only a status of the refusals
// with a readable refusal in it counts as refused: a 503 written by something
// in between proves nothing about the engine.
func statusError(resp *http.Response) error {
	ce := &CallError{Delivery: Maybe, Status: resp.StatusCode, cause: errors.New(resp.Status)}
	body, err := readBounded(resp.Body, maxReply)
	if err != nil || !definitive(resp.StatusCode) {
		return ce
	}
	var r engineapi.Refusal
	if json.Unmarshal(body, &r) == nil && r.Reason != "" {
		ce.Delivery = Refused
		ce.Refusal = &r
	}
	return ce
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer exceeds %d bytes", limit)
	}
	return body, nil
}
