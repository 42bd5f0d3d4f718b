// Command tarragon-standin runs test doubles of the external systems of the fleet:
// the platform's table and object store, and backend servers.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
	"github.com/tarragonford/tarragonford/internal/cli"
)

type options struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// subcommand describes one command of the command line.
type subcommand struct {
	name    string
	summary string
	command flags.Commander
}

// subcommands returns the commands in the order of the help text.
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
		os.Exit(cli.Report("tarragon-standin", err))
	}
}
