package upstream

import (
	"fmt"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Delivery says how far one call to an upstream got. The zero value is the
// cautious one: the call may have been delivered.
type Delivery uint8

// The deliveries.
const (
	// Maybe means the upstream may have acted on the call.
	Maybe Delivery = iota
	// NotSent means no byte of the call left this process.
	NotSent
	// Refused means the upstream answered that it did nothing for the call.
	Refused
	// Done means the upstream acted and answered.
	Done
)

// String returns the word used in logs.
func (d Delivery) String() string {
	switch d {
	case NotSent:
		return "not-sent"
	case Refused:
		return "refused"
	case Done:
		return "done"
	default:
		return "maybe"
	}
}

// CallError is the only error type that this package's clients return.
type CallError struct {
	// Delivery is never Done.
	Delivery Delivery
	// Status is the HTTP status, 0 when no answer came.
	Status int
	// Refusal is set when Delivery is Refused.
	Refusal *engineapi.Refusal

	// Answer is the upstream's own failure, whole, for callers who get it as it came;
	// nil where there is none.
	Answer *ServiceAnswer

	cause error
}

// NewCallError returns an error for clients of other interfaces than this
// package's.
func NewCallError(d Delivery, status int, cause error) *CallError {
	return &CallError{Delivery: d, Status: status, cause: cause}
}

// Error implements error.
func (e *CallError) Error() string {
	switch {
	case e.Refusal != nil:
		return fmt.Sprintf("refused with status %d: %s", e.Status, e.Refusal.Reason)
	case e.Status != 0:
		return fmt.Sprintf("%s, status %d: %v", e.Delivery, e.Status, e.cause)
	default:
		return fmt.Sprintf("%s: %v", e.Delivery, e.cause)
	}
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// DeliveryOf returns Done for a nil error, the delivery of a *CallError, and
// Maybe for anything else.
func DeliveryOf(err error) Delivery {
	if err == nil {
		return Done
	}
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Delivery
	}
	return Maybe
}

// Reached says whether a failed call had an answer of the upstream's host: it refused or
// reset the connection, so that the way there works.
func Reached(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// RefusalOf returns the refusal that err carries, or nil.
func RefusalOf(err error) *engineapi.Refusal {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Refusal
	}
	return nil
}

// AnswerOf returns the upstream's own failure that err carries, or nil.
func AnswerOf(err error) *ServiceAnswer {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Answer
	}
	return nil
}

// definitive says whether status may carry a Refusal.
func definitive(status int) bool {
	return status == http.StatusConflict ||
		status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}
