package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// HeaderKVBytes is the header of an export that gives the nominal size of the KV
// cache, in bytes. The body is much smaller: a space for each slice of the
// nominal size, sent at the rate of the link, and then a JSON object that
// describes the cache. The transfer thus takes as long as the nominal size would.
const HeaderKVBytes = "X-Kv-Bytes"

// maxExportBody is the largest accepted body of an export, in bytes.
const maxExportBody = 1 << 20

// serveExport sends a ready prefill result. The result is freed once it is sent
// completely.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := workIDFromQuery(r)
	var p *prefill
	var originCore *core
	var status int
	e.withCore(func(_ time.Time, c *core) {
		originCore = c
		p, status = c.beginExport(id)
	})
	if p == nil {
		e.reply(w, r, status, engineapi.Refusal{Reason: "no such prefill result"})
		return
	}
	unsent := p.kvBytes
	complete := false
	defer func() {
		e.withCore(func(now time.Time, _ *core) { originCore.endExport(now, p, unsent, complete) })
	}()
	w.Header().Set(HeaderKVBytes, strconv.FormatInt(p.kvBytes, 10))
	w.WriteHeader(http.StatusOK)
	e.paceExport(w, r, originCore, p, &unsent)
	kv := p.descriptor()
	kv.Fatal = e.cfg.CrashText != "" && strings.Contains(p.Prompt, e.cfg.CrashText)
	if err := json.NewEncoder(w).Encode(kv); err != nil {
		return
	}
	complete = http.NewResponseController(w).Flush() == nil
}

// paceExport sends one space for each slice of the link that the transfer
// reserves. It aborts the connection when the result is freed or the client
// disconnects. It subtracts what it has sent from *unsent.
func (e *Engine) paceExport(w http.ResponseWriter, r *http.Request, originCore *core, p *prefill, unsent *int64) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	rc := http.NewResponseController(w)
	for *unsent > 0 {
		n := min(*unsent, int64(e.link.Burst()))
		if err := e.link.WaitN(ctx, int(n)); err != nil {
			httpjson.Abort()
		}
		aborted := false
		e.withCore(func(_ time.Time, c *core) {
			aborted = c != originCore || c.prefills[p.WorkID] != p
			originCore.pendingExportBytes -= n
		})
		*unsent -= n
		if aborted {
			httpjson.Abort()
		}
		if e.hitFault(func(f Faults) bool { return f.StallExport }) {
			httpjson.Stall(r, e.ctx.Done())
		}
		if e.hitFault(func(f Faults) bool { return f.CutExport }) {
			httpjson.Abort()
		}
		_, _ = io.WriteString(w, " ")
		_ = rc.Flush()
	}
}

// importKV fetches the KV cache of d from its source. It continues when the
// connection that requested the decode closes.
func (e *Engine) importKV(ctx context.Context, d *decode) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ImportTimeout)
	defer cancel()
	kv, err := e.fetchKV(ctx, d)
	e.withCore(func(now time.Time, c *core) {
		if err != nil {
			c.failImport(now, d, "import: "+err.Error())
			return
		}
		c.finishImport(now, d, kv)
	})
	if err == nil && kv.Fatal && e.OnFatal != nil {
		e.OnFatal()
	}
}

// fetchKV reads the descriptor of the KV cache of d from its source and checks
// that it belongs to the attempt.
func (e *Engine) fetchKV(ctx context.Context, d *decode) (kvDescriptor, error) {
	query := url.Values{}
	query.Set("request", d.RequestID)
	query.Set("attempt", strconv.Itoa(d.Attempt))
	from := url.URL{Scheme: "http", Host: d.Source, Path: engineapi.PathExport, RawQuery: query.Encode()}
	body, err := e.fetchBody(ctx, from.String(), maxExportBody)
	if err != nil {
		return kvDescriptor{}, err
	}
	var kv kvDescriptor
	if err := json.Unmarshal(bytes.TrimSpace(body), &kv); err != nil {
		return kvDescriptor{}, errors.Wrap(err, "truncated KV cache")
	}
	if kv.WorkID != d.WorkID || kv.Model != d.Model || kv.Adapter != d.Adapter {
		return kvDescriptor{}, errors.New("the KV cache is another attempt's")
	}
	return kv, nil
}

// fetchBody requests a URL and returns the first limit bytes of its body.
func (e *Engine) fetchBody(ctx context.Context, from string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, from, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return body, errors.WithStack(err)
}

// fetchWeights reads the weights that an order needs from the weight store.
func (e *Engine) fetchWeights(p *pendingOrder) {
	name := p.order.Model
	if p.order.Kind == engineapi.OrderLoadAdapter {
		name = p.order.Adapter
	}
	from, err := url.JoinPath(e.cfg.WeightStore, "weights", url.PathEscape(name), url.PathEscape(p.order.Version))
	if err == nil {
		_, err = e.fetchBody(e.ctx, from, maxWeightBytes)
	}
	e.withCore(func(now time.Time, c *core) { c.deployment.finishFetch(now, p, err == nil) })
}

// workIDFromQuery returns the attempt that the query of r identifies.
func workIDFromQuery(r *http.Request) engineapi.WorkID {
	return engineapi.WorkID{
		RequestID: r.URL.Query().Get("request"),
		Attempt:   int(httpjson.QueryInt(r, "attempt", 0)),
	}
}
