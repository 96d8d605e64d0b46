// Command docgen generates the reference pages of the documentation from the code. With -check
// it writes nothing and fails if a committed page differs from the generated one.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/corianderturn/corianderturn/internal/docgen"
)

func main() {
	check := flag.Bool("check", false, "compare the pages with the code instead of writing them")
	dir := flag.String("dir", "docs", "directory of the pages")
	flag.Parse()
	generate := docgen.Write
	if *check {
		generate = docgen.Check
	}
	if err := generate(*dir); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}
