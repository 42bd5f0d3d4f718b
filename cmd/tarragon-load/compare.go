package main

import (
	"errors"
	"os"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/report"
)

// errViolation makes the process exit with code 1 after a comparison that found a
// violation.
var errViolation = errors.New("the comparison found a violated invariant")

// compareCommand holds the options of "tarragon-load compare".
type compareCommand struct {
	Callers []string `long:"callers" required:"yes" value-name:"FILE.csv" description:"CSV file of a caller's attempts, written by run --csv; may be repeated"`
	Servers []string `long:"servers" required:"yes" value-name:"FILE.jsonl" description:"request record of a backend server; may be repeated"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	comparison := report.NewComparison()
	if err := c.read(comparison); err != nil {
		return trace.Wrap(err)
	}
	verdict, err := comparison.Write(os.Stdout)
	if err != nil {
		return trace.Wrap(err)
	}
	if verdict.HasViolations() {
		return errViolation
	}
	return nil
}

func (c *compareCommand) read(comparison *report.Comparison) error {
	for _, name := range c.Callers {
		if err := comparison.ReadAttemptFile(name); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, name := range c.Servers {
		if err := comparison.ReadRecordFile(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
