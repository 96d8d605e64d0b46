package ctl

import (
	"regexp"
	"testing"

	"github.com/corianderturn/corianderturn/bundle"
)

// The reviewer ben signs version 1, and ana-2 version 2, a snapshot. Then ben's key is
// removed from the trust file, so that the log cannot be evaluated from its start. If the
// tool treated such a log as empty, it would draft a competing version 1. It must refuse
// to draft or publish until the log contains a checkpoint without ben's record.
func TestWithdrawnKey(t *testing.T) {
	d := newHarness(t)
	file := d.write("first.yaml", string(starterBundle))
	d.mustRun(d.withLog("bundle", "publish", d.draftAndSign(file, "one", "ana"))...)
	d.mustRun(d.withLog("bundle", "draft", file, "--snapshot", "--key", d.path("ana.key"), "-o", d.path("two.draft"))...)
	d.mustRun(d.withLog("bundle", "sign", d.path("two.draft"), "--key", d.path("ana-2.key"), "-o", d.path("two.record"))...)
	d.mustRun(d.withLog("bundle", "publish", d.path("two.record"))...)
	fullTrust, err := trustFlags{Trust: d.path("trust.yaml")}.load()
	if err != nil {
		t.Fatal(err)
	}
	d.write("trust.yaml", regexp.MustCompile(`(?m)^  ben: .*\n`).ReplaceAllString(readFile(t, d.path("trust.yaml")), ""))

	changed := d.starterWith("changed.yaml", "weight: 1 ", "weight: 2 ")
	draft := d.withLog("bundle", "draft", changed, "--key", d.path("ana.key"), "-o", d.path("three.draft"))
	d.wantRefused(draft, "does not show which version is in force", `record at offset 0`, `reviewer key "ben" is not trusted`, "put a key")
	d.wantRefused(d.withLog("bundle", "publish", d.path("two.record")), "nothing was appended", "does not show")

	chain := bundle.NewChain(fullTrust)
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
	wantContains(t, d.mustRun(draft...), "draft of version 3 (delta")
}
