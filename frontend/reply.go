package frontend

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/request"
)

// completionFormat holds the differences between the responses of text and chat
// completions.
type completionFormat struct {
	chat bool
	// object is the member "object" of a whole response, chunkObject that of one
	// chunk of a stream.
	object, chunkObject string
	// prefix is the prefix of the response's id.
	prefix string
}

var (
	textFormat = completionFormat{object: "text_completion", chunkObject: "text_completion", prefix: "cmpl-"}
	chatFormat = completionFormat{chat: true, object: "chat.completion", chunkObject: "chat.completion.chunk", prefix: "chatcmpl-"}
)

// completionResponse is a whole response, or one chunk of a stream, in the format of
// the OpenAI API.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since the epoch
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`

	format completionFormat
}

// choice is the generated output. Text is used by text completions, Message by whole
// chat responses and Delta by chunks of chats.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatDelta is the part of a chat message that one chunk adds.
type chatDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// usage holds the token counts of a completion.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

// promptDetails says how many prompt tokens came from the engine's prefix cache.
type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// newCompletionResponse returns a response with its metadata and one empty choice.
func newCompletionResponse(c request.Completion, format completionFormat) completionResponse {
	return completionResponse{
		ID: format.prefix + c.ID, Object: format.object, Created: c.Accepted.Unix(),
		Model: c.Model, Choices: make([]choice, 1), format: format,
	}
}

// newUsage converts the token counts of the engine to the format of the response.
func newUsage(u request.Usage) *usage {
	return &usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
		Details:          promptDetails{CachedTokens: u.CachedTokens},
	}
}

// describeJSONError describes a decoding error by its position or type. The text
// contains no values of the caller's body.
func describeJSONError(err error) string {
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
