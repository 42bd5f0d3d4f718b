// Command tarragon-load generates load, runs experiments and reports results.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
	"github.com/tarragonford/tarragonford/internal/cli"
)

type options struct {
	Version func() `long:"version" description:"print the version and exit"`
}

func main() {
	opts := options{Version: func() {
		fmt.Println("tarragon-load", buildinfo.Version())
		os.Exit(0)
	}}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	addCommands(parser)
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

func addCommands(parser *flags.Parser) {
	mustAdd(parser, "run", "Send load to entry addresses and check every answer", &runCommand{})
	mustAdd(parser, "relay", "Forward TCP connections, and cut or delay their traffic", &relayCommand{})
	mustAdd(parser, "compare", "Check the attempts of callers against the records of servers", &compareCommand{})
	mustAdd(parser, "experiment", "Run a seeded experiment in virtual time", &experimentCommand{})
	mustAdd(parser, "control-cost", "Measure the cost of control traffic and the propagation time of changes", &controlCostCommand{})
}

func mustAdd(parser *flags.Parser, name, summary string, command any) {
	if _, err := parser.AddCommand(name, summary, summary+".", command); err != nil {
		panic(err)
	}
}

// exitCode prints err and returns the exit code of the process. It does not print
// errViolation, because the output of compare already ends with the verdict.
func exitCode(err error) int {
	if errors.Is(err, errViolation) {
		return cli.ExitFailure
	}
	return cli.Report("tarragon-load", err)
}
