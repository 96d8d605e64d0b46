package upstream

import (
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// headCheck checks the heads of the responses to one request. Those that net/http lets through although they are none
// in HTTP/1 are the error of the request, and end their connection: nothing that they say is believed, not even
// that the request was not run.
type headCheck struct {
	mu   sync.Mutex
	conn *countingConn // the latest
}

// trace returns req with the hooks of c.
func (c *headCheck) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: c.gotConn}))
}

func (c *headCheck) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, _ = info.Conn.(*countingConn)
}

// check returns an error if the head of the final response is malformed. It then closes the body and the connection.
func (c *headCheck) check(resp *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := httpsem.CheckResponse(resp)
	if err == nil {
		return nil
	}
	_ = resp.Body.Close() // leaves the connection open if there is no body
	if c.conn != nil {
		c.conn.reject()
	}
	return errors.WithStack(err)
}

// isMalformed reports whether a request failed because the head of a response to it is malformed.
func isMalformed(err error) bool {
	var malformed *httpsem.MalformedHeadError
	return errors.As(err, &malformed)
}
