package answers

import (
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
	text := func(n int) io.Reader { return strings.NewReader(strings.Repeat("x", n)) }
	for i, tc := range []struct {
		body         io.Reader
		length, held int64
		want         int // bytes of the body, -1 for an error
	}{
		{text(5000), 5000, 5000, 5000}, {iotest.OneByteReader(text(50)), 50, 50, 50}, {text(0), 0, 0, 0},
		{text(0), -1, firstBytes, 0}, {text(firstBytes), -1, 2 * firstBytes, firstBytes},
		{iotest.HalfReader(text(9000)), -1, 4 * firstBytes, 9000}, {text(limit), -1, limit, limit},
		{text(10), 50, 0, -1}, {io.MultiReader(text(10), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 0, -1},
		{text(0), limit + 1, 0, -1}, {text(limit + 1), -1, 0, -1}, {endlessReader{}, -1, 0, -1},
	} {
		b := NewBudget(megabyte)
		body, err := Read(tc.body, tc.length, limit, b.Lease(), "a")
		if (err != nil) != (tc.want < 0) || err == nil && len(body) != tc.want || strings.Trim(string(body), "x") != "" {
			t.Errorf("case %d: %d bytes, %v", i, len(body), err)
		}
		if b.Held() != tc.held {
			t.Errorf("case %d: %d bytes held, want %d", i, b.Held(), tc.held)
		}
	}
}

// Guards against the largest answer that is allowed being refused on a small instance, whose upstreams have a share
// of just its size, and against answers that are read on although the share is used up.
func TestReadTheLargestAnswer(t *testing.T) {
	const limit = minUpstreamBytes
	for _, length := range []int64{limit, -1} {
		l := NewBudget(28 * megabyte).Lease()
		body, err := Read(io.LimitReader(endlessReader{}, limit), length, limit, l, "a")
		if err != nil || len(body) != limit {
			t.Errorf("stated length %d: %d bytes, %v", length, len(body), err)
		}
		if _, err := Read(endlessReader{}, -1, limit, l, "a"); !errors.Is(err, ErrUpstreamShare) {
			t.Errorf("after the share of the upstream: %v", err)
		}
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
