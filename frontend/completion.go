package frontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
)

// The default and the upper limit of max_tokens, in output tokens.
const (
	defaultMaxTokens = 512
	maxTokensLimit   = 1 << 17
)

// completionBody is the JSON body of text and chat completions. Unknown members
// are rejected, and so are values that request a response that the engines
// cannot produce, such as n above 1. Sampling parameters are accepted but not
// forwarded: the engines use their own defaults.
type completionBody struct {
	Model               string         `json:"model"`
	Adapter             string         `json:"adapter"`
	Prompt              *string        `json:"prompt"`
	Messages            chatMessages   `json:"messages"`
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

// streamOptions is the member stream_options of a completion request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessage is one message of a chat, in requests and in responses.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completeText and completeChat are the handlers of the two completion routes.
func completeText(x *exchange) *errkind.Error { return x.complete(textFormat) }
func completeChat(x *exchange) *errkind.Error { return x.complete(chatFormat) }

// complete parses a completion request, then runs it or forwards it to the
// daemon that owns its token.
func (x *exchange) complete(format completionFormat) *errkind.Error {
	body, err := x.readJSONBody()
	if err != nil {
		return err
	}
	var in completionBody
	if err := decodeJSON(body, &in); err != nil {
		return err
	}
	c, err := x.parseCompletion(&in, format)
	if err != nil {
		return err
	}
	if owner, ok := x.remoteOwner(c.NonIdempotent, c.Key); ok {
		return x.forward(owner, c.Deadline, body)
	}
	x.runCompletion(c, format, in.StreamOptions != nil && in.StreamOptions.IncludeUsage)
	return nil
}

// runCompletion runs the completion with a sink for the response. If the runner
// returns without an outcome, the request fails with errNoOutcome.
func (x *exchange) runCompletion(c request.Completion, format completionFormat, includeUsage bool) {
	response := newCompletionResponse(c, format)
	if !c.Stream {
		sink := &bufferedSink{x: x, response: response}
		x.s.opts.Runner.Complete(x.r.Context(), c, sink)
		sink.Fail(errNoOutcome)
		return
	}
	x.stream = newStreamSink(x, response, includeUsage)
	x.s.opts.Runner.Complete(x.r.Context(), c, x.stream)
	x.stream.Fail(errNoOutcome)
}

// errNoOutcome fails a request whose runner returned without calling Finish or
// Fail. Without an error, the caller would take the end of the connection for
// the end of a complete answer.
var errNoOutcome = errkind.New(errkind.Internal, "the request ended without an answer")

// parseCompletion validates the body against the bundle in force and converts it
// to a request.Completion.
func (x *exchange) parseCompletion(in *completionBody, format completionFormat) (request.Completion, *errkind.Error) {
	c := request.Completion{
		ID: x.id, Team: x.team, Model: in.Model, Adapter: in.Adapter,
		Stream: in.Stream, Accepted: x.accepted,
	}
	var err *errkind.Error
	if c.Prompt, err = buildPrompt(in, format); err != nil {
		return c, err
	}
	if c.MaxTokens, err = parseMaxTokens(in); err != nil {
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
	opts, err := x.parseOptions(optionDefaults{class: class})
	if err != nil {
		return c, err
	}
	c.Class, c.Deadline, c.NonIdempotent, c.Key = opts.class, opts.deadline, opts.nonIdempotent, opts.key
	return c, nil
}

// checkModel checks that the bundle has the requested model and adapter.
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

// parseMaxTokens returns the requested limit of output tokens. max_tokens takes
// precedence over max_completion_tokens.
func parseMaxTokens(in *completionBody) (int, *errkind.Error) {
	requested := in.MaxTokens
	if requested == nil {
		requested = in.MaxCompletionTokens
	}
	if requested == nil {
		return defaultMaxTokens, nil
	}
	if *requested < 1 || *requested > maxTokensLimit {
		return 0, errkind.New(errkind.BadRequest, "max_tokens: from 1 to "+strconv.Itoa(maxTokensLimit))
	}
	return *requested, nil
}

// buildPrompt returns the prompt of a text completion or of a chat.
func buildPrompt(in *completionBody, format completionFormat) (string, *errkind.Error) {
	if !format.chat {
		if in.Prompt == nil || *in.Prompt == "" || in.Messages.present {
			return "", errkind.New(errkind.BadRequest, "prompt: a text that is not empty, and no messages")
		}
		return *in.Prompt, nil
	}
	if in.Messages.count == 0 || in.Prompt != nil {
		return "", errkind.New(errkind.BadRequest, "messages: at least one, and no prompt")
	}
	return in.Messages.prompt, nil
}

// decodedFactor is how many times its size the body of a completion holds besides itself until its answer: in the
// decoder, as a prompt, and in the calls to the engines.
const decodedFactor = 5

// readJSONBody reads the body. It requires the content type application/json and
// valid UTF-8.
func (x *exchange) readJSONBody() ([]byte, *errkind.Error) {
	mediaType, _, err := mime.ParseMediaType(x.r.Header.Get("Content-Type"))
	if err != nil || mediaType != typeJSON {
		return nil, errkind.New(errkind.UnsupportedMediaType, "send Content-Type: application/json")
	}
	body, readErr := x.readBody()
	if readErr != nil {
		return nil, readErr
	}
	if x.bodyLease.Take(answers.BodyHolder(int64(len(body))), int64(len(body))*decodedFactor) != nil {
		return nil, x.refuseBody()
	}
	if !utf8.Valid(body) {
		// encoding/json replaces invalid UTF-8 with U+FFFD, which would change the
		// caller's prompt.
		return nil, errkind.New(errkind.BadRequest, "the body is not UTF-8")
	}
	return body, nil
}

// decodeJSON decodes a body of exactly one JSON value into v and rejects unknown
// members.
func decodeJSON(body []byte, v any) *errkind.Error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); errors.Is(err, errRole) {
		return errkind.New(errkind.BadRequest, "messages: role is one of "+strings.Join(chatRoles, ", "))
	} else if err != nil {
		return errkind.New(errkind.BadRequest, "the body is not the JSON that this path takes: "+describeJSONError(err))
	}
	if _, err := dec.Token(); err != io.EOF {
		return errkind.New(errkind.BadRequest, "the body goes on after its JSON value")
	}
	return nil
}
