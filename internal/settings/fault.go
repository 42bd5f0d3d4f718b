package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Diagnostic describes one error in the settings.
type Diagnostic struct {
	// Source is the file name, or the command-line flag that set the value.
	Source string
	// Line and Column start at 1; both are 0 for a flag.
	Line, Column int
	// Key is the dotted path of the key; empty if the error concerns no single key.
	Key string
	// Code is the numbered result code, 5000-5999.
	Code codes.Code
	// Detail describes this occurrence. It never contains a secret.
	Detail string
}

// String formats the diagnostic as one line: position, key, code, detail and action.
func (d Diagnostic) String() string {
	var text strings.Builder
	text.WriteString(d.Source)
	if d.Line > 0 {
		fmt.Fprintf(&text, ":%d:%d", d.Line, d.Column)
	}
	if d.Key != "" {
		text.WriteString(": " + d.Key)
	}
	fmt.Fprintf(&text, ": %d %s: %s. %s", d.Code.Number, d.Code.Name, d.Detail, d.Code.Action)
	return text.String()
}

// Diagnostics holds all errors of one settings file and its overrides, sorted by
// line and column. It implements error and unwraps to one codes.Error per
// diagnostic.
type Diagnostics []Diagnostic

// Error implements error with one line per diagnostic.
func (d Diagnostics) Error() string {
	lines := make([]string, len(d))
	for i, diagnostic := range d {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns one codes.Error per diagnostic.
func (d Diagnostics) Unwrap() []error {
	errs := make([]error, len(d))
	for i, diagnostic := range d {
		errs[i] = diagnostic.Code.New("%s: %s", diagnostic.Key, diagnostic.Detail)
	}
	return errs
}

// err returns d as an error, or a nil error if d is empty.
func (d Diagnostics) err() error {
	if len(d) == 0 {
		return nil
	}
	return d
}

func (d Diagnostics) sort() {
	sort.SliceStable(d, func(i, j int) bool {
		if d[i].Line != d[j].Line {
			return d[i].Line < d[j].Line
		}
		return d[i].Column < d[j].Column
	})
}
