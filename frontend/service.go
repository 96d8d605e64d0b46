package frontend

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/httpsem"
	"github.com/corianderturn/corianderturn/request"
)

// callService is the handler of /services/:name/*path.
func callService(x *exchange) *errkind.Error {
	name := x.ps.ByName("name")
	service, ok := x.bundle.Services[name]
	if !ok {
		return errkind.New(errkind.UnknownModel, "the service is not in the bundle in force")
	}
	x.target = name
	c, err := x.parseCall(name, service)
	if err != nil {
		return err
	}
	if c.Body, err = x.readBody(); err != nil {
		return err
	}
	if owner, ok := x.remoteOwner(c.NonIdempotent, c.Key); ok {
		return x.forward(owner, c.Deadline, c.Body)
	}
	answer, err := x.s.opts.Runner.Call(x.r.Context(), c)
	if err != nil {
		return err
	}
	return x.writeCallAnswer(answer)
}

// parseCall validates the request and converts it, without its body, to a
// request.Call.
func (x *exchange) parseCall(name string, service bundle.Service) (request.Call, *errkind.Error) {
	c := request.Call{
		ID: x.id, Team: x.team, Service: name, Method: x.r.Method, Accepted: x.accepted,
	}
	path, err := checkPath(x.r.URL, x.ps.ByName("path"))
	if err != nil {
		return c, err
	}
	c.Path = (&url.URL{Path: path, RawQuery: x.r.URL.RawQuery}).RequestURI()
	class := service.Class
	if class == "" {
		class = bundle.Urgent
	}
	opts, err := x.parseOptions(optionDefaults{
		class:                   class,
		timeout:                 service.Timeout(),
		nonIdempotent:           markedNonIdempotent(service, c.Method, path),
		keyImpliesNonIdempotent: !httpsem.Safe(c.Method),
	})
	if err != nil {
		return c, err
	}
	c.Class, c.Deadline, c.NonIdempotent, c.Key = opts.class, opts.deadline, opts.nonIdempotent, opts.key
	c.SendOnce = !httpsem.Idempotent(c.Method) && !opts.declaredIdempotent
	c.Header = endToEndHeaders(x.r.Header, daemonHeaders...)
	c.Header.Set(headerRequestID, x.id)
	if x.traceparent != "" {
		c.Header.Set(headerTraceparent, x.traceparent)
	}
	return c, nil
}

// checkPath rejects paths that a service might normalize to another path. The
// prefixes of non-idempotent paths in the bundle are compared with the path as it
// was sent. A service may treat "/a/../orders" or "//orders" as "/orders"; such a
// request would not match the prefix and could run twice.
func checkPath(u *url.URL, path string) (string, *errkind.Error) {
	encoded := strings.ToLower(u.EscapedPath())
	if strings.Contains(encoded, "%2f") || strings.Contains(encoded, "%5c") || strings.ContainsAny(path, "\\\x00") {
		return "", errkind.New(errkind.BadRequest, "the path holds an encoded slash or a backslash")
	}
	for i, part := range strings.Split(path, "/") {
		last := i == strings.Count(path, "/")
		if part == "." || part == ".." || part == "" && i > 0 && !last {
			return "", errkind.New(errkind.BadRequest, "the path holds an empty or relative part")
		}
	}
	return path, nil
}

// markedNonIdempotent reports whether the bundle declares the call non-idempotent.
// The comparison ignores case, since some services do. A false match only costs
// the claim of an idempotency key; a missed match may run a request twice.
func markedNonIdempotent(service bundle.Service, method, path string) bool {
	if httpsem.Safe(method) {
		return false
	}
	path = strings.ToLower(path)
	for _, prefix := range service.NonIdempotent {
		if strings.HasPrefix(path, "/"+strings.ToLower(strings.TrimPrefix(prefix, "/"))) {
			return true
		}
	}
	return false
}

// isFinalStatus reports whether status is a valid status of a final response, 200 to
// 599. A 1xx response is followed by another one, and net/http panics on some
// other values.
func isFinalStatus(status int) bool {
	const last = 599
	return status >= http.StatusOK && status <= last
}

// writeCallAnswer writes the response of a service to the caller, without hop-by-hop
// headers.
func (x *exchange) writeCallAnswer(a request.CallAnswer) *errkind.Error {
	if !isFinalStatus(a.Status) {
		return errkind.New(errkind.UpstreamFailed, "the service answered with a status that is none").WithRun(errkind.Ran)
	}
	h := x.w.Header()
	for name, values := range endToEndHeaders(a.Header, headerRequestID, "Content-Length") {
		h[name] = values
	}
	if x.r.Method == http.MethodHead && a.Header.Get("Content-Length") != "" {
		h.Set("Content-Length", a.Header.Get("Content-Length"))
	}
	x.write(a.Status, a.Body)
	return nil
}
