package frontend

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// chatRoles are the accepted roles of chat messages.
var chatRoles = []string{"system", "developer", "user", "assistant"}

// errRole means that a chat message has a role that is not accepted.
var errRole = errors.New("the role of a message is unknown")

// chatMessages is the member messages of a chat completion. It holds the prompt that the messages make up, and not
// the messages: as values of Go, a body of very many short ones would hold tens of times its size.
type chatMessages struct {
	present bool
	count   int
	prompt  string
}

// UnmarshalJSON implements json.Unmarshaler. It joins the messages into one prompt: each as "role: content"
// and a newline, with "assistant:" at the end. Chats with the same history thus have the same prompt
// prefix, which engines find in their prefix caches.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = chatMessages{} // the last of several lists counts
	if string(data) == "null" {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if open, err := dec.Token(); err != nil || open != json.Delim('[') {
		var list []chatMessage
		return json.Unmarshal(data, &list) // tells the error
	}
	m.present = true
	var b strings.Builder
	b.Grow(len(data))
	for ; dec.More(); m.count++ {
		var message chatMessage
		if err := dec.Decode(&message); err != nil {
			return err
		}
		if !slices.Contains(chatRoles, message.Role) {
			return errRole
		}
		message.appendTo(&b)
	}
	b.WriteString("assistant:")
	m.prompt = b.String()
	return nil
}

// appendTo appends a message to a prompt.
func (c chatMessage) appendTo(b *strings.Builder) {
	b.WriteString(c.Role)
	b.WriteString(": ")
	b.WriteString(c.Content)
	b.WriteByte('\n')
}
