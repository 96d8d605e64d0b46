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

// The headers of the interface.
const (
	headerRequestID     = "X-Request-Id"
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "X-Non-Idempotent"
	headerClass         = "X-Class"
	headerDeadline      = "X-Deadline-Ms"
	headerTrace         = "Traceparent"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// terms are what a caller asks for besides the work itself.
type terms struct {
	class         bundle.Class
	deadline      time.Time
	nonIdempotent bool
	// repeatable says that the caller itself marked the request as idempotent.
	repeatable bool
	key        string
}

// defaults hold where the caller's headers are silent.
type defaults struct {
	class bundle.Class
	// timeout is the deadline when the class has none; 0 is the longest allowed.
	timeout time.Duration
	// marked says that the bundle marks the request as non-idempotent, whatever
	// the caller says.
	marked bool
	// keyMarks says that a key alone marks the request.
	keyMarks bool
}

// terms reads the caller's headers over the defaults.
func (x *exchange) terms(d defaults) (terms, *errkind.Error) {
	t := terms{}
	var err *errkind.Error
	if t.class, err = classOf(x.r.Header, d.class); err != nil {
		return t, err
	}
	x.class = t.class
	if t.deadline, err = x.deadline(t.class, d.timeout); err != nil {
		return t, err
	}
	if t.key, err = keyOf(x.r.Header); err != nil {
		return t, err
	}
	if t.nonIdempotent, err = markOf(x.r.Header, d.keyMarks && t.key != ""); err != nil {
		return t, err
	}
	t.repeatable = x.r.Header.Get(headerNonIdempotent) == markFalse
	t.nonIdempotent = t.nonIdempotent || d.marked
	if t.nonIdempotent && t.key == "" {
		return t, errkind.New(errkind.KeyRequired, "send an Idempotency-Key with a non-idempotent request")
	}
	return t, nil
}

func classOf(h http.Header, fallback bundle.Class) (bundle.Class, *errkind.Error) {
	value, err := single(h, headerClass)
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

// deadline returns the end of the whole answer: the caller's, else the class's,
// else fallback, else the longest allowed.
func (x *exchange) deadline(class bundle.Class, fallback time.Duration) (time.Time, *errkind.Error) {
	longest := x.s.opts.Callers.MaxDeadline
	value, err := single(x.r.Header, headerDeadline)
	if err != nil {
		return time.Time{}, err
	}
	if value != "" {
		ms, parseErr := strconv.ParseUint(value, 10, 63)
		if parseErr != nil || ms == 0 || ms > uint64(longest.Milliseconds()) {
			return time.Time{}, errkind.New(errkind.BadDeadline,
				"X-Deadline-Ms is a whole number from 1 to "+strconv.FormatInt(longest.Milliseconds(), 10))
		}
		return x.accepted.Add(time.Duration(ms) * time.Millisecond), nil
	}
	d := x.bundle.Classes[class].Deadline()
	if d <= 0 {
		d = fallback
	}
	if d <= 0 || d > longest {
		d = longest
	}
	return x.accepted.Add(d), nil
}

// The values of X-Non-Idempotent.
const (
	markTrue  = "true"
	markFalse = "false"
)

func markOf(h http.Header, fallback bool) (bool, *errkind.Error) {
	value, err := single(h, headerNonIdempotent)
	if err != nil {
		return false, err
	}
	switch value {
	case "":
		return fallback, nil
	case markTrue:
		return true, nil
	case markFalse:
		return false, nil
	default:
		return false, errkind.New(errkind.BadRequest, "X-Non-Idempotent is true or false")
	}
}

func keyOf(h http.Header) (string, *errkind.Error) {
	key, err := single(h, headerKey)
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

// single returns the value of a header that may be sent once. Two values would
// be read differently by the hops on the way.
func single(h http.Header, name string) (string, *errkind.Error) {
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

var traceFormat = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// traceParent returns a well-formed traceparent, or "": a malformed one is
// dropped, as the W3C's recommendation says.
func traceParent(h http.Header) string {
	if v := h.Get(headerTrace); traceFormat.MatchString(v) {
		return v
	}
	return ""
}

// ownHeaders are meant for this daemon; the caller's key above all must not
// reach a service.
var ownHeaders = []string{
	"Authorization", "Content-Length", "Expect",
	headerClass, headerDeadline, headerNonIdempotent, headerRequestID, headerTrace,
}

// endToEnd returns the headers without those of the connection and without drop.
func endToEnd(h http.Header, drop ...string) http.Header {
	out := h.Clone()
	httpsem.RemoveHopByHop(out)
	for _, name := range drop {
		out.Del(name)
	}
	return out
}
