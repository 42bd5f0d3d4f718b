// Command tarragon-load generates load, runs experiments and reports results.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
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
		os.Exit(report(err))
	}
}

func addCommands(parser *flags.Parser) {
	mustAdd(parser, "experiment", "Run a seeded experiment in virtual time", &experimentCommand{})
	mustAdd(parser, "control-cost", "Measure the cost of control work and the spread of changes", &controlCostCommand{})
}

func mustAdd(parser *flags.Parser, name, summary string, command any) {
	if _, err := parser.AddCommand(name, summary, summary+".", command); err != nil {
		panic(err)
	}
}

func report(err error) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			fmt.Println(flagsError.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, flagsError.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "tarragon-load:", err)
	return exitFailure
}
