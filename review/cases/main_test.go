//go:build review

package cases

import (
	"fmt"
	"os"
	"testing"
)

// TestMain runs the case that the variable CASE names, and ends with its exit code. A case is not a
// test of package testing, because it has an exit code for a run that was not possible.
func TestMain(*testing.M) {
	run, ok := map[string]func(){"1": runCase1, "2": runCase2, "3": runCase3, "4": runCase4}[os.Getenv("CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "CASE must name a case")
		os.Exit(Failed)
	}
	run()
}
