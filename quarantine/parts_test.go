package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// partEvent is a crash, or a completion if upstream is empty, of requests with some parts.
type partEvent struct {
	upstream string
	ms       int // after t0
	ranMS    int
	parts    string // one letter each
}

func partOf(letter rune) Digest { return PartDigest("", fmt.Sprintf("%08x", letter)) }

func partsOf(letters string) (out []Digest) {
	for _, letter := range letters {
		out = append(out, partOf(letter))
	}
	return out
}

// Guards against wrong verdicts on parts: a part that crashes upstreams must be refused, and no part
// that another one, a rack or a whole request explains, that completes, or that may be the cause as
// well as another one the prompt lacks.
func TestVerdictsOnParts(t *testing.T) {
	alone := []partEvent{{"u1", 0, 50, "fpx"}, {"u2", 400, 60, "fpy"}, {"u3", 800, 70, "pf"}}
	for _, tc := range []struct {
		name    string
		events  []partEvent
		refused string // prompts that are refused
		sound   string // prompts that are not, each one letter or more
	}{
		{"three crashes one after the other", append([]partEvent{{"", -10, 0, "f"}, {"", 100, 0, "f"}}, alone...), "pf", "f"},
		{"two crashes", alone[:2], "", "pf"},
		{"a part completes in between", append([]partEvent{{"", 500, 0, "pf"}}, alone...), "", "pf"},
		{"a part completed before", append([]partEvent{{"", -500, 0, "pf"}, {"", 100, 0, "f"}}, alone...), "pf", "f"},
		{"a rack fails", []partEvent{{"u1", 0, 700, "p"}, {"u2", 20, 300, "p"}, {"u3", 40, 900, "p"}, {"u4", 60, 500, "p"}}, "", "p"},
		{"crashes as fast as runs begin", []partEvent{{"u1", 0, 50, "p"}, {"u2", 60, 55, "p"}, {"u3", 120, 55, "p"}}, "p", "f"},
		{"two parts that are always together", []partEvent{{"u1", 0, 50, "pq"}, {"u2", 400, 60, "pq"}, {"u3", 800, 70, "qp"}}, "pq", "p"},
		{"one of two parts is there without the other", []partEvent{{"u1", 0, 50, "pq"}, {"u2", 400, 60, "pq"}, {"u3", 800, 70, "qp"}, {"u4", 1200, 70, "p"}}, "p", "q"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLedger()
			for _, e := range tc.events {
				at := t0.Add(time.Duration(e.ms) * time.Millisecond)
				for _, d := range partsOf(e.parts) {
					if e.upstream == "" {
						l.apply(completionRecord(d, at))
					} else {
						l.RecordCrash(d, Crash{Upstream: e.upstream, At: at, Ran: time.Duration(e.ranMS) * time.Millisecond})
					}
				}
			}
			now := t0.Add(2 * time.Second)
			if _, _, refused := l.RefusesParts(now, partsOf(tc.refused)); tc.refused != "" && !refused {
				t.Errorf("%q is not refused", tc.refused)
			}
			if d, _, refused := l.RefusesParts(now, partsOf(tc.sound)); refused {
				t.Errorf("%q is refused because of %s", tc.sound, d.PartID())
			}
		})
	}
}

// Guards against sound requests that are refused for the parts that they share with one request which
// its caller repeats, and which alone crashes upstreams.
func TestWholeRequestExplainsItsParts(t *testing.T) {
	l := NewLedger()
	for i := range 5 {
		e := Crash{Upstream: fmt.Sprint("u", i), At: t0.Add(time.Duration(i) * time.Second), Ran: 50 * time.Millisecond}
		l.RecordCrash(fatal, e)
		l.RecordCrash(partOf('p'), e)
	}
	now := t0.Add(6 * time.Second)
	if _, refused := l.Refuses(now, fatal); !refused {
		t.Error("the request is not refused")
	}
	if _, _, refused := l.RefusesParts(now, partsOf("p")); refused {
		t.Error("its part is refused")
	}
}
