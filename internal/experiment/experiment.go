package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Options are common to all experiments.
type Options struct {
	// Seed seeds every random source of the run.
	Seed uint64
	// CSV is the file to write the table to; empty for none.
	CSV string
	// Plot is the SVG file to write the plot to; empty for none.
	Plot string
}

// Table is the result of an experiment.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Add appends one row of values in their default format.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, value := range values {
		row[i] = fmt.Sprint(value)
	}
	t.Rows = append(t.Rows, row)
}

// WriteText writes the table as aligned text.
func (t *Table) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	writeTabbed(tw, t.Columns)
	for _, row := range t.Rows {
		writeTabbed(tw, row)
	}
	return trace.Wrap(tw.Flush())
}

func writeTabbed(w io.Writer, cells []string) {
	for _, cell := range cells {
		fmt.Fprintf(w, "%s\t", cell)
	}
	fmt.Fprintln(w)
}

// WriteCSV writes the table with a header row to the named file.
func (t *Table) WriteCSV(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.Write(t.Columns); err != nil {
		return trace.Wrap(err)
	}
	if err := w.WriteAll(t.Rows); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Close())
}

// Runner runs one experiment.
type Runner func(Options) (*Table, error)

// Plotter plots the table of an experiment to an SVG file.
type Plotter func(table *Table, name string) error

// Definition describes one experiment of the load tool.
type Definition struct {
	// Name is the argument of "tarragon-load experiment".
	Name string
	// Summary is the one-line description in the help text.
	Summary string
	Run     Runner
	Plot    Plotter
}

// Execute runs the experiment and writes its table and plot.
func (d Definition) Execute(options Options, out io.Writer) error {
	table, err := d.Run(options)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := table.WriteText(out); err != nil {
		return trace.Wrap(err)
	}
	if options.CSV != "" {
		if err := table.WriteCSV(options.CSV); err != nil {
			return trace.Wrap(err)
		}
	}
	if options.Plot != "" && d.Plot != nil {
		return trace.Wrap(d.Plot(table, options.Plot))
	}
	return nil
}
