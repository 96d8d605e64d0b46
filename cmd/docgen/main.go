// Command docgen writes the reference pages of the documentation from the code,
// or with -check fails when a committed page differs.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/corianderturn/corianderturn/internal/docgen"
)

func main() {
	check := flag.Bool("check", false, "compare instead of writing")
	dir := flag.String("dir", "docs", "folder of the pages")
	flag.Parse()
	do := docgen.Write
	if *check {
		do = docgen.Check
	}
	if err := do(*dir); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}
