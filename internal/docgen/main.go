// Command docgen writes the documentation pages that are generated from code. It is run by
// "go generate ./internal/settings ./internal/codes".
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/settings"
)

// pageMode is the file mode of a generated page.
const pageMode = 0o644

func main() {
	name := flag.String("page", "", "configuration or codes")
	out := flag.String("out", "", "file to write")
	flag.Parse()
	if err := write(*name, *out); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}

func write(name, out string) error {
	pages := map[string]func() string{"configuration": settings.Page, "codes": codes.Page}
	page, known := pages[name]
	if !known {
		return fmt.Errorf("there is no page named %q", name)
	}
	return os.WriteFile(out, []byte(page()), pageMode)
}
