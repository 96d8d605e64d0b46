package frontend

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/request"
)

// shape tells the two kinds of completion apart.
type shape struct {
	chat bool
	// object names the whole answer and chunkObject a part of a stream.
	object, chunkObject string
	// prefix begins the answer's id.
	prefix string
}

var (
	textShape = shape{object: "text_completion", chunkObject: "text_completion", prefix: "cmpl-"}
	chatShape = shape{chat: true, object: "chat.completion", chunkObject: "chat.completion.chunk", prefix: "chatcmpl-"}
)

// reply is an answer, or one chunk of a stream, in OpenAI's form.
type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since the epoch
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`

	shape shape
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newReply(c request.Completion, sh shape) reply {
	return reply{
		ID: sh.prefix + c.ID, Object: sh.object, Created: c.Accepted.Unix(),
		Model: c.Model, Choices: make([]choice, 1), shape: sh,
	}
}

func usageOf(u request.Usage) *usage {
	return &usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
		Details:          promptDetails{CachedTokens: u.CachedTokens},
	}
}

// jsonFault describes a decoding error by place and type, without the
// caller's content.
func jsonFault(err error) string {
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "broken at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &typ):
		return typ.Field + ": a " + typ.Value + " instead of " + typ.Type.String()
	case strings.HasPrefix(err.Error(), "json: unknown field"):
		return strings.TrimPrefix(err.Error(), "json: ")
	default:
		return "broken off"
	}
}
