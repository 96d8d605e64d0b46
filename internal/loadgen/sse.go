package loadgen

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxEvent bounds one line of a stream, in bytes.
	maxEvent  = 1 << 20
	doneMark  = "[DONE]"
	errorName = "error"
)

// completionBody is the part of a completion, or of one chunk of it, that is checked.
type completionBody struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readStream reads server-sent events to the end of the stream and fills t.
// onToken is called for each chunk that carries text.
func readStream(r io.Reader, t *Transcript, onToken func()) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEvent)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			event = value
		case "data":
			if err := readEvent(event, value, t, onToken); err != nil {
				return err
			}
		case "":
			event = ""
		}
	}
	return lines.Err()
}

func readEvent(event, data string, t *Transcript, onToken func()) error {
	switch {
	case event == errorName:
		t.Terminals++
		t.Problem = &Problem{}
		return errors.Wrap(json.Unmarshal([]byte(data), t.Problem), "error event")
	case data == doneMark:
		t.Terminals++
		return nil
	}
	var c completionBody
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "data event")
	}
	if c.read(t) {
		onToken()
	}
	return nil
}

// read adds the body to t and says whether it carried text.
func (c *completionBody) read(t *Transcript) bool {
	if c.Usage != nil {
		t.Usage = c.Usage.CompletionTokens
	}
	if len(c.Choices) == 0 {
		return false
	}
	choice := c.Choices[0]
	if choice.FinishReason != "" {
		t.Finish = choice.FinishReason
	}
	if choice.Text == "" {
		return false
	}
	if t.Terminals > 0 {
		t.Terminals++ // text after the end is a second answer
	}
	t.Text += choice.Text
	t.Tokens++
	return true
}
