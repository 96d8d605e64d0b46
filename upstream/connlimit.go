package upstream

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"
)

// limitedTransport is an http.RoundTripper that sends a limited number of requests to each address at a
// time. A request above the limit waits here, before it has a connection: http.Transport, which has the same
// limit, writes a request as soon as it has a connection, and cannot be asked to give it back unused.
type limitedTransport struct {
	*http.Transport
	perHost int64

	mu    sync.Mutex
	hosts map[string]*hostLimit
}

// hostLimit counts the requests to one address. It exists while there are any.
type hostLimit struct {
	slots *semaphore.Weighted
	users int // requests that have a slot or wait for one
}

func newLimitedTransport(t *http.Transport) *limitedTransport {
	perHost := int64(t.MaxConnsPerHost)
	if perHost == 0 { // no limit
		perHost = math.MaxInt64
	}
	return &limitedTransport{Transport: t, perHost: perHost, hosts: map[string]*hostLimit{}}
}

// RoundTrip implements http.RoundTripper. The request's slot is free again when the body of its response has
// been read to its end or closed. A response whose head is malformed is an error.
func (t *limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var heads headCheck
	resp, release, err := t.send(heads.trace(req))
	if err != nil {
		return nil, err
	}
	if err := heads.check(resp); err != nil {
		release()
		return nil, err
	}
	if resp.Body == http.NoBody {
		release()
		return resp, nil
	}
	resp.Body = &limitedBody{resp.Body, release}
	return resp, nil
}

// send sends req once it has a slot, if it may still be sent then. release frees the slot.
func (t *limitedTransport) send(req *http.Request) (resp *http.Response, release func(), err error) {
	release, err = t.acquire(req.Context(), req.URL.Host)
	if err != nil {
		closeBody(req)
		return nil, nil, err
	}
	if err = permitted(req.Context()); err != nil {
		release()
		closeBody(req)
		return nil, nil, err
	}
	if resp, err = t.Transport.RoundTrip(req); err != nil {
		release()
		return nil, nil, err
	}
	return resp, release, nil
}

// acquire waits for a slot and returns the function that frees it.
func (t *limitedTransport) acquire(ctx context.Context, host string) (release func(), err error) {
	l := t.join(host)
	if err := l.slots.Acquire(ctx, 1); err != nil {
		t.leave(host, l)
		return nil, err
	}
	return sync.OnceFunc(func() {
		l.slots.Release(1)
		t.leave(host, l)
	}), nil
}

func (t *limitedTransport) join(host string) *hostLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.hosts[host]
	if l == nil {
		l = &hostLimit{slots: semaphore.NewWeighted(t.perHost)}
		t.hosts[host] = l
	}
	l.users++
	return l
}

func (t *limitedTransport) leave(host string, l *hostLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.users--; l.users == 0 {
		delete(t.hosts, host)
	}
}

// closeBody closes the body of a request that is not sent, as http.RoundTripper requires.
func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

// limitedBody frees the slot of a request at the end of its response.
type limitedBody struct {
	io.ReadCloser
	release func()
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release()
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}

// permitKey is the context key of a request's permit.
type permitKey struct{}

// withPermit returns a context whose request is sent only if permit returns nil once the request need not
// wait any longer.
func withPermit(ctx context.Context, permit func() error) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

// permitted asks the permit of a context; without one it returns nil.
func permitted(ctx context.Context) error {
	if permit, ok := ctx.Value(permitKey{}).(func() error); ok {
		return permit()
	}
	return nil
}
