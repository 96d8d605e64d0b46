package infra

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// Log is the append-only log. Implementations are safe for concurrent use.
type Log interface {
	// Append adds records at consecutive offsets and returns the first. An error
	// for which NotApplied is false leaves it open whether the records were added.
	Append(ctx context.Context, stream string, records ...[]byte) (offset uint64, err error)
	// Read returns up to maxRecords records from an offset on. When there are none it waits
	// for one, up to wait, and may then return no record. ErrTrimmed comes with
	// the reply's First set.
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (infraapi.ReadReply, error)
}

// LogClient is the Log over HTTP.
type LogClient struct{ c client }

var _ Log = (*LogClient)(nil)

// NewLog returns a client of the log at baseURL. The HTTP client's timeout must
// be longer than any wait given to Read; nil means http.DefaultClient.
func NewLog(baseURL string, hc *http.Client) *LogClient {
	return &LogClient{c: newClient(baseURL, hc)}
}

// Append implements Log.
func (l *LogClient) Append(ctx context.Context, stream string, records ...[]byte) (uint64, error) {
	const op = "append"
	path := streamPath(infraapi.PathAppend, stream)
	a, err := l.c.do(ctx, op, http.MethodPost, path, infraapi.AppendRequest{Records: records})
	if err != nil {
		return 0, err
	}
	if a.status >= http.StatusMultipleChoices {
		return 0, refused(op, a)
	}
	var reply infraapi.AppendReply
	if err := decode(op, a, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read implements Log.
func (l *LogClient) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (infraapi.ReadReply, error) {
	const op = "read"
	var reply infraapi.ReadReply
	a, err := l.c.do(ctx, op, http.MethodGet, readPath(stream, from, maxRecords, wait), nil)
	if err != nil {
		return reply, err
	}
	trimmed := a.status == http.StatusGone
	if a.status >= http.StatusMultipleChoices && !trimmed {
		return reply, refused(op, a)
	}
	if err := decode(op, a, &reply); err != nil {
		return reply, err
	}
	if trimmed {
		return reply, errors.WithStack(ErrTrimmed)
	}
	return reply, checkOrder(reply, from)
}

// checkOrder refuses an answer whose records do not start at the wanted offset
// or skip one. Every reader of the log decides by order; a gap that goes
// unnoticed could make a later record win.
func checkOrder(reply infraapi.ReadReply, from uint64) error {
	for i, r := range reply.Records {
		if want := from + uint64(i); r.Offset != want {
			return &Error{Op: "read", cause: errors.Errorf("record at offset %d where %d was expected", r.Offset, want)}
		}
	}
	return nil
}

func streamPath(pattern, stream string) string {
	return strings.Replace(pattern, ":stream", url.PathEscape(stream), 1)
}

func readPath(stream string, from uint64, maxRecords int, wait time.Duration) string {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("max", strconv.Itoa(maxRecords))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return streamPath(infraapi.PathRead, stream) + "?" + q.Encode()
}
