// Command harness starts the binaries of this repository as separate processes
// with small stand-ins around them, and drives them for demonstrations, fault
// runs and measurements. It is test code and is not shipped.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

func main() {
	killOnSignal()
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, summary string
		command       any
	}{
		{"demo", "Show the whole path of one deployment", &demoCommand{}},
		{"soak", "Run a deployment under randomised faults", &soakCommand{}},
		{"convergence", "Measure how soon a change is in force everywhere", &convergenceCommand{}},
		{"bench", "Measure added latency and requests per core", &benchCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.summary, c.summary+".", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

// Exit codes.
const (
	// exitViolated says that a property was violated.
	exitViolated = 1
	// exitNotRun says that the run could not be carried out.
	exitNotRun = 3
)

func exitCode(err error) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Println(flagsError.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "harness:", err)
	if trace.IsCompareFailed(err) {
		return exitViolated
	}
	return exitNotRun
}
