package claims

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// TestUnsafeOptionsAreRefused checks that New rejects options that are incomplete
// or with which a key could be granted twice.
func TestUnsafeOptionsAreRefused(t *testing.T) {
	base := Options{Log: memoryLog{}, Self: wire.NodeID{Instance: "a"}}
	tests := []struct {
		name, want string
		edit       func(*Options)
	}{
		{"no log", "no log", func(o *Options) { o.Log = nil }},
		{"no instance", "no instance", func(o *Options) { o.Self.Instance = "" }},
		{"negative shards", "shards", func(o *Options) { o.Shards = -1 }},
		{"relay of nothing", "every shard is followed", func(o *Options) {
			o.AppendAtHome = func(context.Context, int, wire.ClaimAppend) (wire.ClaimAppended, error) {
				return wire.ClaimAppended{}, nil
			}
		}},
		{"nobody to ask", "no way to ask", func(o *Options) { o.Follow = func(int) bool { return false } }},
		{"short retention", "need a log that keeps", func(o *Options) { o.Retention = time.Hour }},
		{"long grant", "must end", func(o *Options) { o.GrantTTL = time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := base
			tt.edit(&o)
			if _, err := New(o); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("New returned %v, want an error with %q", err, tt.want)
			}
		})
	}
}
