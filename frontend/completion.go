package frontend

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
)

// Bounds of max_tokens.
const (
	defaultMaxTokens = 512
	largestMaxTokens = 1 << 17
)

// completionBody is the body of both kinds of completion. Unknown members are
// refused, and so are those that ask for an answer of another shape than the
// engines give; sampling members are accepted and left to the engines' own
// defaults.
type completionBody struct {
	Model               string         `json:"model"`
	Adapter             string         `json:"adapter"`
	Prompt              *string        `json:"prompt"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	N                   *int           `json:"n"`

	Temperature      *float64 `json:"temperature"`
	TopP             *float64 `json:"top_p"`
	PresencePenalty  *float64 `json:"presence_penalty"`
	FrequencyPenalty *float64 `json:"frequency_penalty"`
	Seed             *int64   `json:"seed"`
	User             string   `json:"user"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

var chatRoles = []string{"system", "developer", "user", "assistant"}

func completeText(x *exchange) *errkind.Error { return x.complete(textShape) }
func completeChat(x *exchange) *errkind.Error { return x.complete(chatShape) }

func (x *exchange) complete(sh shape) *errkind.Error {
	body, err := x.jsonBody()
	if err != nil {
		return err
	}
	var in completionBody
	if err := decode(body, &in); err != nil {
		return err
	}
	c, err := x.completion(&in, sh)
	if err != nil {
		return err
	}
	if owner, ok := x.elsewhere(c.NonIdempotent, c.Key); ok {
		return x.forward(owner, c.Deadline, body)
	}
	x.deliver(c, sh, in.StreamOptions != nil && in.StreamOptions.IncludeUsage)
	return nil
}

// deliver runs the completion into a sink and makes sure that it ends.
func (x *exchange) deliver(c request.Completion, sh shape, includeUsage bool) {
	reply := newReply(c, sh)
	if !c.Stream {
		sink := &wholeSink{x: x, reply: reply}
		x.s.opts.Runner.Complete(x.r.Context(), c, sink)
		sink.Fail(errNotEnded)
		return
	}
	x.stream = newStreamSink(x, reply, includeUsage)
	x.s.opts.Runner.Complete(x.r.Context(), c, x.stream)
	x.stream.Fail(errNotEnded)
}

// errNotEnded ends a request that its runner left open. A caller would
// otherwise take the end of the connection for the end of the answer.
var errNotEnded = errkind.New(errkind.Internal, "the request ended without an answer")

// completion types the body against the bundle in force.
func (x *exchange) completion(in *completionBody, sh shape) (request.Completion, *errkind.Error) {
	c := request.Completion{
		ID: x.id, Team: x.team, Model: in.Model, Adapter: in.Adapter,
		Stream: in.Stream, Accepted: x.accepted,
	}
	var err *errkind.Error
	if c.Prompt, err = promptOf(in, sh); err != nil {
		return c, err
	}
	if c.MaxTokens, err = maxTokensOf(in); err != nil {
		return c, err
	}
	if in.N != nil && *in.N != 1 {
		return c, errkind.New(errkind.BadRequest, "n: one answer a request")
	}
	if err := x.checkModel(in); err != nil {
		return c, err
	}
	class := x.bundle.Teams[x.team].Class
	if class == "" {
		class = bundle.Draft
	}
	t, err := x.terms(defaults{class: class})
	if err != nil {
		return c, err
	}
	c.Class, c.Deadline, c.NonIdempotent, c.Key = t.class, t.deadline, t.nonIdempotent, t.key
	return c, nil
}

func (x *exchange) checkModel(in *completionBody) *errkind.Error {
	if in.Model == "" {
		return errkind.New(errkind.BadRequest, "model: missing")
	}
	m, ok := x.bundle.Models[in.Model]
	if !ok {
		return errkind.New(errkind.UnknownModel, "the model is not in the bundle in force")
	}
	x.target = in.Model
	if in.Adapter != "" && !slices.Contains(m.Adapters, in.Adapter) {
		return errkind.New(errkind.UnknownModel, "the model has no such adapter in the bundle in force")
	}
	return nil
}

func maxTokensOf(in *completionBody) (int, *errkind.Error) {
	given := in.MaxTokens
	if given == nil {
		given = in.MaxCompletionTokens
	}
	if given == nil {
		return defaultMaxTokens, nil
	}
	if *given < 1 || *given > largestMaxTokens {
		return 0, errkind.New(errkind.BadRequest, "max_tokens: from 1 to "+strconv.Itoa(largestMaxTokens))
	}
	return *given, nil
}

// promptOf returns the prompt of a text completion, or the messages of a chat
// joined into one: each as "role: content" and a newline, and "assistant:" at
// the end. The same history gives the same start, so that engines find it in
// their prefix caches.
func promptOf(in *completionBody, sh shape) (string, *errkind.Error) {
	if !sh.chat {
		if in.Prompt == nil || *in.Prompt == "" || in.Messages != nil {
			return "", errkind.New(errkind.BadRequest, "prompt: a text that is not empty, and no messages")
		}
		return *in.Prompt, nil
	}
	if len(in.Messages) == 0 || in.Prompt != nil {
		return "", errkind.New(errkind.BadRequest, "messages: at least one, and no prompt")
	}
	var b strings.Builder
	for _, m := range in.Messages {
		if !slices.Contains(chatRoles, m.Role) {
			return "", errkind.New(errkind.BadRequest, "messages: role is one of "+strings.Join(chatRoles, ", "))
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// jsonBody reads a body that has to be JSON in UTF-8.
func (x *exchange) jsonBody() ([]byte, *errkind.Error) {
	kind, _, err := mime.ParseMediaType(x.r.Header.Get("Content-Type"))
	if err != nil || kind != typeJSON {
		return nil, errkind.New(errkind.UnsupportedMediaType, "send Content-Type: application/json")
	}
	body, readErr := x.readBody()
	if readErr != nil {
		return nil, readErr
	}
	if !utf8.Valid(body) {
		// The decoder would replace what it cannot read, and the prompt would be
		// another than the caller's.
		return nil, errkind.New(errkind.BadRequest, "the body is not UTF-8")
	}
	return body, nil
}

// decode decodes exactly one JSON value and refuses unknown members.
func decode(body []byte, v any) *errkind.Error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errkind.New(errkind.BadRequest, "the body is not the JSON that this path takes: "+jsonFault(err))
	}
	if _, err := dec.Token(); err != io.EOF {
		return errkind.New(errkind.BadRequest, "the body goes on after its JSON value")
	}
	return nil
}
