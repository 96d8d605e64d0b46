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

// Log is the platform's append-only log. Implementations must be safe for concurrent
// use.
type Log interface {
	// Append adds records at consecutive offsets and returns the first offset. After
	// an error for which NotApplied is false, the records may have been added.
	Append(ctx context.Context, stream string, records ...[]byte) (offset uint64, err error)
	// Read returns up to maxRecords records, starting at offset from. If there are
	// none, it waits up to wait for a record and may then return an empty reply. If
	// the error is ErrTrimmed, the reply's First and Next are set.
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (infraapi.ReadReply, error)
}

// LogClient implements Log over HTTP.
type LogClient struct{ client client }

var _ Log = (*LogClient)(nil)

// NewLog returns a client for the log at baseURL. The timeout of hc must be longer
// than any wait passed to Read. If hc is nil, it uses http.DefaultClient.
func NewLog(baseURL string, hc *http.Client) *LogClient {
	return &LogClient{client: newClient(baseURL, hc)}
}

// Append implements Log.
func (l *LogClient) Append(ctx context.Context, stream string, records ...[]byte) (uint64, error) {
	const op = "append"
	path := streamPath(infraapi.PathAppend, stream)
	resp, err := l.client.do(ctx, op, http.MethodPost, path, infraapi.AppendRequest{Records: records})
	if err != nil {
		return 0, err
	}
	if resp.status >= http.StatusMultipleChoices {
		return 0, refusalError(op, resp)
	}
	var reply infraapi.AppendReply
	if err := decodeResponse(op, resp, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read implements Log.
func (l *LogClient) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (infraapi.ReadReply, error) {
	const op = "read"
	var reply infraapi.ReadReply
	resp, err := l.client.do(ctx, op, http.MethodGet, readPath(stream, from, maxRecords, wait), nil)
	if err != nil {
		return reply, err
	}
	trimmed := resp.status == http.StatusGone
	if resp.status >= http.StatusMultipleChoices && !trimmed {
		return reply, refusalError(op, resp)
	}
	if err := decodeResponse(op, resp, &reply); err != nil {
		return reply, err
	}
	if trimmed {
		return reply, errors.WithStack(ErrTrimmed)
	}
	return reply, checkOffsets(reply, from)
}

// checkOffsets returns an error if the records of a reply do not have consecutive
// offsets that start at from. Readers of the log resolve conflicts between records by
// their order; after an undetected gap a later record could win over a missing one.
func checkOffsets(reply infraapi.ReadReply, from uint64) error {
	for i, r := range reply.Records {
		if want := from + uint64(i); r.Offset != want {
			return &Error{Op: "read", cause: errors.Errorf("record at offset %d where %d was expected", r.Offset, want)}
		}
	}
	return nil
}

// streamPath returns pattern with the escaped stream name in place of :stream.
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
