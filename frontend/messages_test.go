package frontend

import (
	"encoding/json"
	"testing"
)

// Guards against lists of messages that mean something else than they say, as the prompt is built while they are decoded.
func TestMessages(t *testing.T) {
	for text, want := range map[string]chatMessages{
		`[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]`: {present: true, count: 2, prompt: "user: a\nassistant: b\nassistant:"},
		`[]`:   {present: true, prompt: "assistant:"},
		`null`: {},
	} {
		m := chatMessages{present: true, count: 1, prompt: "of a list before"}
		if err := json.Unmarshal([]byte(text), &m); err != nil || m != want {
			t.Errorf("%s: %+v, %v", text, m, err)
		}
	}
	for _, text := range []string{`{}`, `"a"`, `[{"role":"nobody"}]`, `[{"role":"user","other":1}]`, `[{}]`, `[1]`} {
		if json.Unmarshal([]byte(text), &chatMessages{}) == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}
