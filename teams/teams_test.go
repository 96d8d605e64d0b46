package teams

import (
	"net/http"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/errkind"
)

// Guards against identifying a caller as another team, accepting one without a valid key, and
// including the key in an error.
func TestFind(t *testing.T) {
	index, err := NewIndex(map[string][]Digest{
		"red": {DigestOf("r1"), DigestOf("r2")}, "blue": {DigestOf("b1")}, "none": nil,
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		values []string
		team   string
		kind   errkind.Kind
	}{
		"first key":          {[]string{"Bearer r1"}, "red", ""},
		"second key":         {[]string{"bearer r2 "}, "red", ""},
		"other team":         {[]string{"BEARER b1"}, "blue", ""},
		"no header":          {nil, "", errkind.Unauthorized},
		"two headers":        {[]string{"Bearer r1", "Bearer r1"}, "", errkind.BadRequest},
		"another scheme":     {[]string{"Basic r1"}, "", errkind.Unauthorized},
		"scheme alone":       {[]string{"Bearer "}, "", errkind.Unauthorized},
		"empty key":          {[]string{"Bearer   "}, "", errkind.Unauthorized},
		"unknown key":        {[]string{"Bearer r3"}, "", errkind.Unauthorized},
		"a megabyte":         {[]string{"Bearer " + strings.Repeat("x", 1<<20)}, "", errkind.Unauthorized},
		"control characters": {[]string{"Bearer r1\x00\n"}, "", errkind.Unauthorized},
		"name of a team":     {[]string{"Bearer red"}, "", errkind.Unauthorized},
	} {
		team, err := index.Find(http.Header{Header: tc.values})
		if team != tc.team || err == nil != (tc.kind == "") || err != nil && err.Kind != tc.kind {
			t.Errorf("%s: %q, %v", name, team, err)
		}
		if err != nil && strings.Contains(err.Error(), "r3") {
			t.Errorf("%s: the error holds the key", name)
		}
	}
}

// Guards against an index in which the team of a key is ambiguous: a key of two teams must be
// rejected, and one listed twice for the same team accepted.
func TestTwoTeamsWithOneKey(t *testing.T) {
	if _, err := NewIndex(map[string][]Digest{"red": {DigestOf("k")}, "blue": {DigestOf("k")}}); err == nil {
		t.Error("a key shared by two teams was accepted")
	}
	if _, err := NewIndex(map[string][]Digest{"red": {DigestOf("k"), DigestOf("k")}}); err != nil {
		t.Error(err)
	}
}
