// Command tarragon-standin serves stand-ins for the outside systems of the
// fleet: the platform's table and object store, and backend servers.
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

// subcommand is one entry of the list of commands.
type subcommand struct {
	name    string
	summary string
	command flags.Commander
}

// subcommands returns the commands in the order in which --help lists them.
func subcommands() []subcommand {
	return []subcommand{
		{"platform", "Serve the platform's table and object store from memory", &platformCommand{}},
		{"server", "Serve one backend server", &serverCommand{}},
	}
}

func main() {
	opts := options{Version: func() {
		fmt.Println("tarragon-standin", buildinfo.Version())
		os.Exit(0)
	}}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	for _, s := range subcommands() {
		if _, err := parser.AddCommand(s.name, s.summary, s.summary+".", s.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(err))
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
	fmt.Fprintln(os.Stderr, "tarragon-standin:", err)
	return exitFailure
}
