// Package errkind defines the closed list of error kinds and the table that maps each
// kind to the caller's response: the HTTP status, the run state, whether a retry can
// succeed, and the retry delay.
package errkind

import (
	"time"

	"github.com/pkg/errors"
)

// Kind is a reason why a request has no result. The list is closed: using a Kind that
// has no row in the table is a bug.
type Kind string

// All error kinds.
const (
	BadRequest           Kind = "bad-request"
	BodyTooLarge         Kind = "body-too-large"
	UnsupportedMediaType Kind = "unsupported-media-type"
	NotFound             Kind = "not-found"
	MethodNotAllowed     Kind = "method-not-allowed"
	Unauthorized         Kind = "unauthorized"
	UnknownTeam          Kind = "unknown-team"
	UnknownModel         Kind = "unknown-model"
	BadDeadline          Kind = "bad-deadline"
	DeadlineUnreachable  Kind = "deadline-unreachable"
	DeadlineExceeded     Kind = "deadline-exceeded"
	Overloaded           Kind = "overloaded"
	TeamLimit            Kind = "team-limit"
	QuotaExceeded        Kind = "quota-exceeded"
	NoUpstream           Kind = "no-upstream"
	VersionUnavailable   Kind = "version-unavailable"
	OriginUnknown        Kind = "origin-unknown"
	UpstreamLimit        Kind = "upstream-limit"
	UpstreamRefused      Kind = "upstream-refused"
	UpstreamFailed       Kind = "upstream-failed"
	StreamBroken         Kind = "stream-broken"
	CrashesUpstreams     Kind = "crashes-upstreams"
	KeyReused            Kind = "key-reused"
	KeyInProgress        Kind = "key-in-progress"
	KeyAlreadyRan        Kind = "key-already-ran"
	KeyOutcomeUnknown    Kind = "key-outcome-unknown"
	KeyExpired           Kind = "key-expired"
	KeyRequired          Kind = "key-required"
	ClaimUnavailable     Kind = "claim-unavailable"
	StaleView            Kind = "stale-view"
	NotReady             Kind = "not-ready"
	Draining             Kind = "draining"
	ClientGone           Kind = "client-gone"
	Internal             Kind = "internal"
)

// RunState is a run state: whether the request ran on an upstream.
type RunState string

// The run states. NotRun guarantees that no upstream executed the request, so a retry
// cannot run it twice.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
	Ran     RunState = "ran"
)

// Row is the table entry of one Kind.
type Row struct {
	// Status is the HTTP status code.
	Status int
	// Run is the run state that is reported unless Error.Run is set.
	Run RunState
	// Retryable says whether the same request can succeed later.
	Retryable bool
	// RetryAfter is the default retry delay; with zero, none is sent.
	RetryAfter time.Duration
	// Title is a one-line summary for humans.
	Title string
}

// Error is the only error type that is sent to callers.
type Error struct {
	// Kind is one of the kinds of this package.
	Kind Kind
	// Detail is a sentence for humans. It must not contain secrets.
	Detail string
	// Run overrides the run state of the table if it is set.
	Run RunState
	// RetryAfter overrides the retry delay of the table if it is positive.
	RetryAfter time.Duration

	cause error
}

// New returns an Error of the given kind.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail}
}

// Wrap returns an Error of the given kind. The cause appears in Error() and Unwrap()
// but is not sent to callers.
func Wrap(cause error, kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, cause: cause}
}

// WithRun returns a copy of e with the run state set.
func (e *Error) WithRun(run RunState) *Error {
	c := *e
	c.Run = run
	return &c
}

// WithRetryAfter returns a copy of e with the retry delay set.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in err's chain. An error without one is wrapped as
// Internal; nil stays nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected failure")
}
