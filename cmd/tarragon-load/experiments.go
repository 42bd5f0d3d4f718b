package main

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/experiment"
)

// experiments returns the experiments in the order of the help text.
func experiments() []experiment.Definition {
	return []experiment.Definition{
		experiment.Detection,
		experiment.Routing,
		experiment.Overload,
		experiment.EvenLoad,
	}
}

// experimentCommand holds the options of "tarragon-load experiment".
type experimentCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of every random source"`
	CSV  string `long:"csv" value-name:"FILE" description:"write the table to this file"`
	Plot string `long:"plot" value-name:"FILE.svg" description:"plot the table to this SVG file"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"detection, routing, overload or even-load"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	for _, definition := range experiments() {
		if definition.Name == c.Args.Name {
			return definition.Execute(experiment.Options{Seed: c.Seed, CSV: c.CSV, Plot: c.Plot}, os.Stdout)
		}
	}
	return trace.NotFound("unknown experiment %q: use detection, routing, overload or even-load", c.Args.Name)
}
