// Command tarragonctl is the command-line client for operators and approvers. It
// manages intents and their confirmations, and shows the state of the fleet.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// Exit codes; docs/operators.md lists them.
const (
	exitOK             = 0
	exitFailure        = 1 // any other failure
	exitUsage          = 2 // the command line is malformed
	exitRefused        = 3 // the step was refused and nothing changed
	exitIdentity       = 4 // the token or role does not allow the step
	exitUnavailable    = 5 // no node answered, or the platform is down; nothing changed
	exitOutcomeUnknown = 6 // the step may have taken effect; repeat it
	exitWaitTimeout    = 7 // the step took effect and is not in force everywhere yet
)

const longDescription = `tarragonctl creates intents, shows their plans, and confirms or approves them.

A change takes effect after two confirmations: an operator confirms the plan and
another identity with the role approver approves it.

Examples:
  tarragonctl --node http://10.0.1.4:7105 --token-file op.token status
  tarragonctl intent withdraw server measures-3 --reason "disk errors"
  tarragonctl confirm 20270115-080000-1a2b3c4d --plan 2
  tarragonctl approve 20270115-080000-1a2b3c4d --plan 2 --wait

Environment: TARRAGON_NODE (addresses, separated by commas) and TARRAGON_TOKEN.

Exit codes:
  0 success
  1 other failure
  2 malformed command
  3 refused, nothing changed
  4 the token or role does not allow the step
  5 no node answered or the platform is down, nothing changed
  6 outcome unknown, repeat the same command
  7 not in force everywhere before the wait timeout

Completion in bash: source <(tarragonctl completion)`

// options are the flags of every command.
type options struct {
	Nodes     []string      `long:"node" env:"TARRAGON_NODE" env-delim:"," value-name:"URL" description:"admin address of a node; may be repeated, the nodes are tried in order"`
	TokenFile string        `long:"token-file" value-name:"FILE" description:"file with the bearer token (default: the token in TARRAGON_TOKEN)"`
	Output    string        `long:"output" short:"o" choice:"table" choice:"json" choice:"yaml" default:"table" description:"output format"`
	Timeout   time.Duration `long:"timeout" default:"15s" description:"timeout of a call to one node"`
	Version   func()        `long:"version" description:"print the version and exit"`
}

// app holds the options, streams and environment shared by all commands.
type app struct {
	options options
	stdout  io.Writer
	stderr  io.Writer
	getenv  func(string) string
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer, getenv func(string) string) int {
	a := &app{stdout: stdout, stderr: stderr, getenv: getenv}
	a.options.Version = func() {
		fmt.Fprintln(stdout, "tarragonctl", buildinfo.Version())
		os.Exit(exitOK)
	}
	parser := flags.NewParser(&a.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tarragonctl"
	parser.LongDescription = longDescription
	a.addIntentCommands(parser)
	a.addStepCommands(parser)
	a.addReadCommands(parser)
	a.addExplainCommand(parser)
	_, err := parser.ParseArgs(args)
	return a.report(err)
}

// mustAdd adds a command. It panics on a malformed command, which is a programming error.
func mustAdd(parent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, name, short, example string, command any) *flags.Command {
	added, err := parent.AddCommand(name, short, short+".\n\nExample:\n  "+example, command)
	if err != nil {
		panic(err)
	}
	return added
}

// report prints an error with its result code and action, and returns the exit code.
func (a *app) report(err error) int {
	if err == nil {
		return exitOK
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(a.stdout, flagsError.Message)
			return exitOK
		}
		err = codes.BadCommand.New("%s", flagsError.Message)
	}
	coded := codes.FromError(err)
	fmt.Fprintln(a.stderr, "tarragonctl:", coded.Error())
	fmt.Fprintln(a.stderr, "What to do:", coded.Code.Action)
	return exitCode(coded.Code)
}

// exitCode maps a result code to the exit code of the process.
func exitCode(code codes.Code) int {
	switch code.Number {
	case codes.BadCommand.Number:
		return exitUsage
	case codes.Unauthenticated.Number, codes.Forbidden.Number, codes.SameIdentity.Number:
		return exitIdentity
	case codes.WaitTimeout.Number:
		return exitWaitTimeout
	case codes.StoreDown.Number, codes.StoreBusy.Number, codes.ViewNotReady.Number, codes.NodeUnreachable.Number:
		return exitUnavailable
	}
	switch {
	case code.Number >= 4000 && code.Number < 5000:
		return exitRefused
	case code.Number >= 6000 && code.Outcome == codes.Unknown:
		return exitOutcomeUnknown
	}
	return exitFailure
}
