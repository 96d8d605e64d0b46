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

func callService(x *exchange) *errkind.Error {
	name := x.ps.ByName("name")
	service, ok := x.bundle.Services[name]
	if !ok {
		return errkind.New(errkind.UnknownModel, "the service is not in the bundle in force")
	}
	x.target = name
	c, err := x.call(name, service)
	if err != nil {
		return err
	}
	if c.Body, err = x.readBody(); err != nil {
		return err
	}
	if owner, ok := x.elsewhere(c.NonIdempotent, c.Key); ok {
		return x.forward(owner, c.Deadline, c.Body)
	}
	answer, err := x.s.opts.Runner.Call(x.r.Context(), c)
	if err != nil {
		return err
	}
	return x.answerCall(answer)
}

// call types the request, all but its body.
func (x *exchange) call(name string, service bundle.Service) (request.Call, *errkind.Error) {
	c := request.Call{
		ID: x.id, Team: x.team, Service: name, Method: x.r.Method, Accepted: x.accepted,
	}
	path, err := plainPath(x.r.URL, x.ps.ByName("path"))
	if err != nil {
		return c, err
	}
	c.Path = (&url.URL{Path: path, RawQuery: x.r.URL.RawQuery}).RequestURI()
	class := service.Class
	if class == "" {
		class = bundle.Urgent
	}
	t, err := x.terms(defaults{
		class:    class,
		timeout:  service.Timeout(),
		marked:   isMarked(service, c.Method, path),
		keyMarks: !httpsem.Safe(c.Method),
	})
	if err != nil {
		return c, err
	}
	c.Class, c.Deadline, c.NonIdempotent, c.Key = t.class, t.deadline, t.nonIdempotent, t.key
	c.SendOnce = !httpsem.Idempotent(c.Method) && !t.repeatable
	c.Header = endToEnd(x.r.Header, ownHeaders...)
	c.Header.Set(headerRequestID, x.id)
	if x.trace != "" {
		c.Header.Set(headerTrace, x.trace)
	}
	return c, nil
}

// plainPath refuses paths that a service might read as another one. The marks
// of the bundle are compared with the path: "/a/../orders" or "//orders" would
// reach orders without its mark, and run twice.
func plainPath(u *url.URL, path string) (string, *errkind.Error) {
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

// isMarked says whether the bundle marks the call as non-idempotent. Letter
// case is ignored, since some services ignore it: a mark too many costs a
// claim, a mark too few a double run.
func isMarked(service bundle.Service, method, path string) bool {
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

// finalStatus says whether status can end an answer: 1xx announces another, and
// beyond 5xx there is none. net/http panics on some of the rest.
func finalStatus(status int) bool {
	const last = 599
	return status >= http.StatusOK && status <= last
}

// answerCall passes a service's answer on.
func (x *exchange) answerCall(a request.CallAnswer) *errkind.Error {
	if !finalStatus(a.Status) {
		return errkind.New(errkind.UpstreamFailed, "the service answered with a status that is none").WithRun(errkind.Ran)
	}
	h := x.w.Header()
	for name, values := range endToEnd(a.Header, headerRequestID, "Content-Length") {
		h[name] = values
	}
	if x.r.Method == http.MethodHead && a.Header.Get("Content-Length") != "" {
		h.Set("Content-Length", a.Header.Get("Content-Length"))
	}
	x.write(a.Status, a.Body)
	return nil
}
