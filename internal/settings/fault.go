package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Fault is one thing that is wrong with the settings.
type Fault struct {
	// Source is the name of the file, or the flag that gave the value.
	Source string
	// Line and Column count from 1; both are 0 for a flag.
	Line, Column int
	// Key is the dotted name of the key; empty if no key is concerned.
	Key string
	// Code is the numbered result code, 5000-5999.
	Code codes.Code
	// Detail is a sentence about this occurrence. It never holds a secret.
	Detail string
}

// String returns the fault as one line: position, key, code, detail and action.
func (f Fault) String() string {
	var text strings.Builder
	text.WriteString(f.Source)
	if f.Line > 0 {
		fmt.Fprintf(&text, ":%d:%d", f.Line, f.Column)
	}
	if f.Key != "" {
		text.WriteString(": " + f.Key)
	}
	fmt.Fprintf(&text, ": %d %s: %s. %s", f.Code.Number, f.Code.Name, f.Detail, f.Code.Action)
	return text.String()
}

// Faults are all faults of one set of settings, in the order of their position.
// It implements error and unwraps to one codes.Error per fault.
type Faults []Fault

// Error implements error with one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns one codes.Error per fault.
func (f Faults) Unwrap() []error {
	errs := make([]error, len(f))
	for i, fault := range f {
		errs[i] = fault.Code.New("%s: %s", fault.Key, fault.Detail)
	}
	return errs
}

// err returns the faults as an error, or nil if there are none.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f Faults) sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}
