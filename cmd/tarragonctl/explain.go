package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/explain"
)

func (a *app) addExplainCommand(parser *flags.Parser) {
	mustAdd(parser, "explain", "Reconstruct the path of a request from the logs of nodes",
		"tarragonctl explain 9c41d07be2a35f68 node-1.log node-2.log", &explainCommand{app: a})
}

// explainCommand prints the log entries of a request in order.
type explainCommand struct {
	app  *app
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var log explain.Log
	for _, name := range c.Args.Files {
		if err := readLog(&log, name); err != nil {
			return codes.BadCommand.New("log %s: %v", name, err)
		}
	}
	log.Sort()
	if log.Incomplete {
		fmt.Fprintln(c.app.stderr, "some nodes omitted log lines; see their messages \"log lines left out\" and \"log lines dropped\"")
	}
	lines := log.LinesFor(c.Args.Request)
	if len(lines) == 0 {
		return codes.BadCommand.New("none of the %d log lines belongs to request %s", len(log.Lines), c.Args.Request)
	}
	return explain.Write(c.app.stdout, c.Args.Request, lines)
}

func readLog(log *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return log.Read(file)
}
