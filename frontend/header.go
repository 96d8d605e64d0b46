package frontend

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// Names of the request headers that the frontend reads.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Non-Idempotent"
	headerClass          = "X-Class"
	headerDeadline       = "X-Deadline-Ms"
	headerTraceparent    = "Traceparent"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// requestOptions are the values that a caller sets by request headers.
type requestOptions struct {
	class         bundle.Class
	deadline      time.Time
	nonIdempotent bool
	// declaredIdempotent says that the caller sent X-Non-Idempotent: false. The
	// request may then be sent again, even if it is a POST.
	declaredIdempotent bool
	key                string
}

// optionDefaults are the values that apply where the caller sent no header.
type optionDefaults struct {
	class bundle.Class
	// timeout applies if the class has no deadline; 0 means the maximum,
	// callers.max_deadline.
	timeout time.Duration
	// nonIdempotent says that the bundle declares the request non-idempotent. The
	// caller's header cannot override it.
	nonIdempotent bool
	// keyImpliesNonIdempotent makes a request with an idempotency key
	// non-idempotent if the caller sent no X-Non-Idempotent.
	keyImpliesNonIdempotent bool
}

// parseOptions reads the options from the request's headers and applies the
// defaults.
func (x *exchange) parseOptions(d optionDefaults) (requestOptions, *errkind.Error) {
	opts := requestOptions{}
	var err *errkind.Error
	if opts.class, err = parseClass(x.r.Header, d.class); err != nil {
		return opts, err
	}
	x.class = opts.class
	if opts.deadline, err = x.parseDeadline(opts.class, d.timeout); err != nil {
		return opts, err
	}
	if opts.key, err = parseIdempotencyKey(x.r.Header); err != nil {
		return opts, err
	}
	if opts.nonIdempotent, err = parseNonIdempotent(x.r.Header, d.keyImpliesNonIdempotent && opts.key != ""); err != nil {
		return opts, err
	}
	opts.declaredIdempotent = x.r.Header.Get(headerNonIdempotent) == nonIdempotentFalse
	opts.nonIdempotent = opts.nonIdempotent || d.nonIdempotent
	if opts.nonIdempotent && opts.key == "" {
		return opts, errkind.New(errkind.KeyRequired, "send an Idempotency-Key with a non-idempotent request")
	}
	return opts, nil
}

// parseClass returns the class of X-Class, or fallback without the header.
func parseClass(h http.Header, fallback bundle.Class) (bundle.Class, *errkind.Error) {
	value, err := singleValue(h, headerClass)
	if err != nil {
		return "", err
	}
	switch c := bundle.Class(value); c {
	case bundle.Urgent, bundle.Draft:
		return c, nil
	case "":
		return fallback, nil
	default:
		return "", errkind.New(errkind.BadRequest, "X-Class is urgent or draft")
	}
}

// parseDeadline returns the time by which the response must be complete. It is
// taken from X-Deadline-Ms, else from the class, else from fallback, else from
// callers.max_deadline, which is also the upper limit.
func (x *exchange) parseDeadline(class bundle.Class, fallback time.Duration) (time.Time, *errkind.Error) {
	maxDeadline := x.s.opts.Callers.MaxDeadline
	value, err := singleValue(x.r.Header, headerDeadline)
	if err != nil {
		return time.Time{}, err
	}
	if value != "" {
		ms, parseErr := strconv.ParseUint(value, 10, 63)
		if parseErr != nil || ms == 0 || ms > uint64(maxDeadline.Milliseconds()) {
			return time.Time{}, errkind.New(errkind.BadDeadline,
				"X-Deadline-Ms is a whole number from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		}
		return x.accepted.Add(time.Duration(ms) * time.Millisecond), nil
	}
	d := x.bundle.Classes[class].Deadline()
	if d <= 0 {
		d = fallback
	}
	if d <= 0 || d > maxDeadline {
		d = maxDeadline
	}
	return x.accepted.Add(d), nil
}

// The accepted values of X-Non-Idempotent.
const (
	nonIdempotentTrue  = "true"
	nonIdempotentFalse = "false"
)

// parseNonIdempotent returns the value of X-Non-Idempotent, or fallback without
// the header.
func parseNonIdempotent(h http.Header, fallback bool) (bool, *errkind.Error) {
	value, err := singleValue(h, headerNonIdempotent)
	if err != nil {
		return false, err
	}
	switch value {
	case "":
		return fallback, nil
	case nonIdempotentTrue:
		return true, nil
	case nonIdempotentFalse:
		return false, nil
	default:
		return false, errkind.New(errkind.BadRequest, "X-Non-Idempotent is true or false")
	}
}

// parseIdempotencyKey returns the idempotency key, or "" without the header. Keys
// consist of visible ASCII characters.
func parseIdempotencyKey(h http.Header) (string, *errkind.Error) {
	key, err := singleValue(h, headerIdempotencyKey)
	if err != nil {
		return "", err
	}
	if len(key) > maxKeyBytes {
		return "", errkind.New(errkind.BadRequest, "the Idempotency-Key is longer than 255 bytes")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return "", errkind.New(errkind.BadRequest, "the Idempotency-Key holds something else than visible ASCII")
		}
	}
	return key, nil
}

// singleValue returns the value of a header, or "" without it. A header that is
// sent twice is rejected, since proxies differ in which of the values they use.
func singleValue(h http.Header, name string) (string, *errkind.Error) {
	values := h.Values(name)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", errkind.New(errkind.BadRequest, "the header "+name+" is sent twice")
	}
}

// traceparentPattern is the format of the traceparent header in W3C Trace Context.
var traceparentPattern = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// traceparent returns the traceparent header, or "" if it is missing or malformed.
// W3C Trace Context requires that a malformed one is ignored.
func traceparent(h http.Header) string {
	if v := h.Get(headerTraceparent); traceparentPattern.MatchString(v) {
		return v
	}
	return ""
}

// daemonHeaders are request headers that are not passed on to services. Authorization
// holds the caller's API key, which services must not see.
var daemonHeaders = []string{
	"Authorization", "Content-Length", "Expect",
	headerClass, headerDeadline, headerNonIdempotent, headerRequestID, headerTraceparent,
}

// endToEndHeaders returns a copy of h without hop-by-hop headers and without those
// named in drop.
func endToEndHeaders(h http.Header, drop ...string) http.Header {
	out := h.Clone()
	httpsem.RemoveHopByHop(out)
	for _, name := range drop {
		out.Del(name)
	}
	return out
}
