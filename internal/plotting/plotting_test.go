package plotting

import (
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func TestChartsAreSVG(t *testing.T) {
	axes := Labels{Title: "Goodput", X: "load", Y: "answers/s"}
	v := func(m float64) Value { return Value{m, m - 1, m + 1} }
	series := []Series{
		{"reserve", []Point{{0.5, v(10)}, {1, v(20)}}},
		{"round-robin", []Point{{0.5, v(9)}, {1, v(5)}}},
	}
	tests := []struct {
		name   string
		draw   func(path string) error
		legend []string
	}{
		{"lines", func(p string) error { return WriteLineChart(p, axes, series) }, []string{"reserve", "round-robin"}},
		{"bars", func(p string) error {
			return WriteBarChart(p, axes, []string{"reserve", "random"}, []Group{{"peak", []Value{v(3), v(2)}}, {"past", []Value{v(4), v(1)}}})
		}, []string{"reserve", "random", "peak", "past"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), tc.name+".svg")
			if err := tc.draw(path); err != nil {
				t.Fatal(err)
			}
			text := svgText(t, path)
			for _, want := range append(tc.legend, "Goodput", "answers/s") {
				if !strings.Contains(text, want) {
					t.Errorf("the chart lacks the text %q", want)
				}
			}
		})
	}
	if err := WriteLineChart(filepath.Join(t.TempDir(), "no", "dir.svg"), axes, series); err == nil {
		t.Error("Lines succeeded with a path in a folder that does not exist")
	}
}

// svgText returns the character data of an SVG file. It fails the test if the XML is not
// well-formed.
func svgText(t *testing.T, path string) string {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var b strings.Builder
	dec := xml.NewDecoder(f)
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return b.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		if c, ok := tok.(xml.CharData); ok {
			b.Write(c)
		}
	}
}
