package codes

import (
	"fmt"
	"strings"
)

const pageHead = `# Result codes

<!-- Generated from internal/codes by "go generate ./internal/codes". Do not edit. -->

Every refusal and failure carries a numbered code. Callers find it in the header ` + "`Tarragon-Code`" + `
and in the problem-details body; operators find it in the answers of the administration API, in the
output of the commands and in the log. A number is never reused.

The outcome says what is known about the request:

- ` + "`not-run`" + `: the request was not run and never will be. It is safe to send it again.
- ` + "`ran`" + `: the request was run.
- ` + "`unknown`" + `: the request may have been run. Only a repeat with the same idempotency key is safe.
`

// ranges are the number ranges of the package comment, with their headings on the page.
var ranges = []struct {
	first int
	title string
}{
	{1000, "Requests that were not run"},
	{2000, "Requests whose outcome is unknown or whose answer was lost"},
	{3000, "Idempotency keys"},
	{4000, "Administration"},
	{5000, "Settings and command line"},
	{6000, "Platform and peers"},
}

// rangeSize is the number of codes in each range.
const rangeSize = 1000

// Page returns the content of docs/codes.md.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, group := range ranges {
		fmt.Fprintf(&page, "\n## %d-%d: %s\n\n", group.first, group.first+rangeSize-1, group.title)
		writeRange(&page, group.first)
	}
	return page.String()
}

// writeRange writes the table of the codes in the range that starts at first.
func writeRange(page *strings.Builder, first int) {
	rows := 0
	for _, code := range All() {
		if code.Number < first || code.Number >= first+rangeSize {
			continue
		}
		if rows == 0 {
			page.WriteString("| code | name | HTTP status | outcome | meaning | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
		}
		rows++
		fmt.Fprintf(page, "| <a id=\"%d\"></a>%d | %s | %s | %s | %s | %s |\n",
			code.Number, code.Number, code.Name, code.statusCell(), code.Outcome, code.Meaning, code.Action)
	}
	if rows == 0 {
		page.WriteString("No code is defined in this range.\n")
	}
}

// statusCell returns the HTTP status for the table, or a hyphen if the code has none.
func (c Code) statusCell() string {
	if c.Status == 0 {
		return "-"
	}
	return fmt.Sprint(c.Status)
}
