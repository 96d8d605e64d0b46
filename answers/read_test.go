package answers

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
)

// Guards against bodies that are cut short and taken for whole, and against memory that is allocated before it is
// taken from the budget or not given back.
func TestRead(t *testing.T) {
	const limit = 100 << 10
	text := func(n int) string { return strings.Repeat("x", n) }
	for name, tc := range map[string]struct {
		body   io.Reader
		length int64
		want   int // bytes of the body, -1 for an error
		held   int64
	}{
		"stated length":          {strings.NewReader(text(5000)), 5000, 5000, 5000},
		"stated length in bytes": {iotest.OneByteReader(strings.NewReader(text(50))), 50, 50, 50},
		"empty":                  {strings.NewReader(""), 0, 0, 0},
		"unknown, empty":         {strings.NewReader(""), -1, 0, firstBytes},
		"unknown, one buffer":    {strings.NewReader(text(firstBytes)), -1, firstBytes, 2 * firstBytes},
		"unknown, larger":        {iotest.HalfReader(strings.NewReader(text(9000))), -1, 9000, 4 * firstBytes},
		"unknown, at the limit":  {strings.NewReader(text(limit)), -1, limit, limit},
		"shorter than stated":    {strings.NewReader(text(10)), 50, -1, 0},
		"cut":                    {io.MultiReader(strings.NewReader(text(10)), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, -1, 0},
		"stated too large":       {strings.NewReader(""), limit + 1, -1, 0},
		"too large":              {strings.NewReader(text(limit + 1)), -1, -1, 0},
		"without end":            {endlessReader{}, -1, -1, 0},
		"without end, 9 MB":      {endlessReader{}, 9 << 20, -1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(1 << 20)
			l := b.Lease()
			body, err := Read(tc.body, tc.length, limit, l, "a")
			if (err != nil) != (tc.want < 0) || err == nil && !bytes.Equal(body, []byte(text(tc.want))) {
				t.Errorf("%d bytes, %v", len(body), err)
			}
			if b.Held() != tc.held {
				t.Errorf("%d bytes held, want %d", b.Held(), tc.held)
			}
		})
	}
}

// Guards against the largest answer that is allowed being refused on a small instance, whose upstreams have a share
// of just its size.
func TestReadTheLargestAnswer(t *testing.T) {
	const limit = minUpstreamBytes
	for _, length := range []int64{limit, -1} {
		l := NewBudget(28 * megabyte).Lease()
		body, err := Read(io.LimitReader(endlessReader{}, limit), length, limit, l, "a")
		if err != nil || len(body) != limit {
			t.Errorf("stated length %d: %d bytes, %v", length, len(body), err)
		}
	}
}

// Guards against answers that are read on although the budget has no memory for them.
func TestReadFailsWithoutMemory(t *testing.T) {
	b := NewBudget(64 << 10)
	l := b.Lease()
	if _, err := Read(endlessReader{}, -1, 1<<20, l, "a"); !errors.Is(err, ErrUpstreamShare) || !IsLimit(err) {
		t.Errorf("unknown length: %v", err)
	}
	if _, err := Read(endlessReader{}, 65<<10, 1<<20, l, "a"); !errors.Is(err, ErrUpstreamShare) {
		t.Errorf("stated length: %v", err)
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes held", b.Held())
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
