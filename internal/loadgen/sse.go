package loadgen

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 1 << 20
	doneData     = "[DONE]"
	errorEvent   = "error"
)

// completionBody holds the checked fields of a completion or of one chunk of a streamed one.
type completionBody struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readStream reads server-sent events up to the end of the stream and adds them to t. It calls
// onToken for each chunk that carries text.
func readStream(r io.Reader, t *Transcript, onToken func()) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
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

// readEvent adds one event of the stream to t.
func readEvent(event, data string, t *Transcript, onToken func()) error {
	switch {
	case event == errorEvent:
		t.TerminalEvents++
		t.Problem = &Problem{}
		return errors.Wrap(json.Unmarshal([]byte(data), t.Problem), "error event")
	case data == doneData:
		t.TerminalEvents++
		return nil
	}
	var c completionBody
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "data event")
	}
	if c.addTo(t) {
		onToken()
	}
	return nil
}

// addTo adds the body to t and reports whether it carried text.
func (c *completionBody) addTo(t *Transcript) bool {
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
	if t.TerminalEvents > 0 {
		t.TerminalEvents++ // text after the terminal event counts as a second response
	}
	t.Text += choice.Text
	t.Tokens++
	return true
}
