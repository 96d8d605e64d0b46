package errkind

import (
	"net/http"
	"slices"
	"time"
)

// Default retry delays.
const (
	shortRetryDelay = time.Second
	longRetryDelay  = 5 * time.Second
)

// table holds the status, run state, retryability, retry delay and title of each kind.
var table = map[Kind]Row{
	BadRequest:           {http.StatusBadRequest, NotRun, false, 0, "the request is malformed"},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, NotRun, false, 0, "the body exceeds the limit"},
	UnsupportedMediaType: {http.StatusUnsupportedMediaType, NotRun, false, 0, "the content type is not supported"},
	NotFound:             {http.StatusNotFound, NotRun, false, 0, "no such resource"},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, NotRun, false, 0, "the method is not allowed here"},
	Unauthorized:         {http.StatusUnauthorized, NotRun, false, 0, "credentials are missing or wrong"},
	UnknownTeam:          {http.StatusForbidden, NotRun, false, 0, "the team is not in the bundle in force"},
	UnknownModel:         {http.StatusNotFound, NotRun, false, 0, "the model, adapter or service is not in the bundle in force"},
	BadDeadline:          {http.StatusBadRequest, NotRun, false, 0, "the deadline is malformed or out of range"},
	DeadlineUnreachable:  {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "the latency target cannot be met now"},
	DeadlineExceeded:     {http.StatusGatewayTimeout, Unknown, true, shortRetryDelay, "the deadline passed"},
	Overloaded:           {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "no capacity now"},
	TeamLimit:            {http.StatusTooManyRequests, NotRun, true, shortRetryDelay, "the team is over its share"},
	QuotaExceeded:        {http.StatusTooManyRequests, NotRun, true, shortRetryDelay, "the team has used what its limit allows for now"},
	NoUpstream:           {http.StatusServiceUnavailable, NotRun, true, longRetryDelay, "no upstream can take the request"},
	VersionUnavailable:   {http.StatusServiceUnavailable, NotRun, true, longRetryDelay, "no upstream has the software version that began the stream"},
	OriginUnknown:        {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "it is not known here at which software version the stream began"},
	UpstreamLimit:        {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "the upstreams take no more requests now, by limits that they name themselves"},
	UpstreamRefused:      {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "every upstream tried refused the request"},
	UpstreamFailed:       {http.StatusBadGateway, Unknown, true, shortRetryDelay, "the upstream failed"},
	StreamBroken:         {http.StatusBadGateway, Ran, true, shortRetryDelay, "the answer could not be completed"},
	CrashesUpstreams:     {http.StatusBadGateway, Unknown, false, 0, "upstreams ended while they ran this request; it is not sent again"},
	KeyReused:            {http.StatusUnprocessableEntity, NotRun, false, 0, "the idempotency key was used with another request"},
	KeyInProgress:        {http.StatusConflict, NotRun, true, shortRetryDelay, "a request with this key is in progress"},
	KeyAlreadyRan:        {http.StatusConflict, Ran, false, 0, "the request with this key has run; its answer is no longer kept"},
	KeyOutcomeUnknown:    {http.StatusConflict, Unknown, false, 0, "the request with this key may have run; its outcome is not known"},
	KeyExpired:           {http.StatusUnprocessableEntity, Unknown, false, 0, "the idempotency key is older than keys are kept"},
	KeyRequired:          {http.StatusBadRequest, NotRun, false, 0, "a non-idempotent request needs an idempotency key"},
	ClaimUnavailable:     {http.StatusServiceUnavailable, NotRun, true, longRetryDelay, "the key cannot be claimed now"},
	StaleView:            {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "this instance's view is too old to dispatch on"},
	NotReady:             {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "this instance is not ready"},
	Draining:             {http.StatusServiceUnavailable, NotRun, true, shortRetryDelay, "this instance is shutting down"},
	ClientGone:           {499, Unknown, true, 0, "the caller went away"},
	Internal:             {http.StatusInternalServerError, Unknown, true, shortRetryDelay, "internal failure"},
}

// Lookup returns the row of kind; ok is false if kind is not in the table.
func Lookup(kind Kind) (row Row, ok bool) {
	row, ok = table[kind]
	return row, ok
}

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(table))
	for k := range table {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Answer returns the row of e's kind, with the run state and the retry delay of e
// applied. A kind that is not in the table gets the row of Internal.
func Answer(e *Error) Row {
	row, ok := table[e.Kind]
	if !ok {
		row = table[Internal]
	}
	if e.Run != "" {
		row.Run = e.Run
	}
	if e.RetryAfter > 0 {
		row.RetryAfter = e.RetryAfter
	}
	return row
}
