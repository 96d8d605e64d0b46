package ctl

import (
	"regexp"
	"testing"

	"github.com/corianderturn/corianderturn/bundle"
)

// Symptom: after a signing key was withdrawn, a competing version 1 is drafted.
// Sequence: version 1 signed by ben; a snapshot as version 2 signed by ana-2; ben's key leaves the trust file; then a
// checkpoint stands on the log.
// Cause: a log that cannot be judged by today's keys was taken for an empty one.
func TestWithdrawnKey(t *testing.T) {
	d := newOperator(t)
	file := d.write("first.yaml", string(starter))
	d.ok(d.onLog("bundle", "publish", d.signed(file, "one", "ana"))...)
	d.ok(d.onLog("bundle", "draft", file, "--snapshot", "--key", d.path("ana.key"), "-o", d.path("two.draft"))...)
	d.ok(d.onLog("bundle", "sign", d.path("two.draft"), "--key", d.path("ana-2.key"), "-o", d.path("two.record"))...)
	d.ok(d.onLog("bundle", "publish", d.path("two.record"))...)
	whole, err := trustFlags{Trust: d.path("trust.yaml")}.load()
	if err != nil {
		t.Fatal(err)
	}
	d.write("trust.yaml", regexp.MustCompile(`(?m)^  ben: .*\n`).ReplaceAllString(readFile(t, d.path("trust.yaml")), ""))

	changed := d.starterWith("changed.yaml", "weight: 1 ", "weight: 2 ")
	draft := d.onLog("bundle", "draft", changed, "--key", d.path("ana.key"), "-o", d.path("three.draft"))
	d.refused(draft, "does not show which version is in force", `record at offset 0`, `reviewer key "ben" is not trusted`, "put a key")
	d.refused(d.onLog("bundle", "publish", d.path("two.record")), "nothing was appended", "does not show")

	chain := bundle.NewChain(whole)
	for offset, name := range []string{"one.record", "two.record"} {
		if _, err := chain.OfferLog(uint64(offset), []byte(readFile(t, d.path(name)))); err != nil {
			t.Fatal(err)
		}
	}
	checkpoint, ok := chain.Checkpoint()
	if !ok {
		t.Fatal("no checkpoint")
	}
	d.log.Append(defaultStream, checkpoint)
	contains(t, d.ok(draft...), "draft of version 3 (delta")
}
