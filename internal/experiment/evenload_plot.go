package experiment

import (
	"os"
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Columns of the even-load table that are plotted.
const (
	evenServersColumn  = 0
	evenChoosersColumn = 1
	evenIntervalColumn = 2
	evenPolicyColumn   = 3
	evenRatioColumn    = 4
	evenRefusedColumn  = 5
)

// plotEvenLoad draws the evenness of the load and the refused hops against the interval of the
// reports, one row of plots for each fleet, for the largest number of choosers.
func plotEvenLoad(table *Table, name string) error {
	plots := make([][]*plot.Plot, len(evenFleets))
	for i, fleet := range evenFleets {
		for _, column := range []int{evenRatioColumn, evenRefusedColumn} {
			p, err := evenPlot(table, fleet.name, column)
			if err != nil {
				return trace.Wrap(err)
			}
			plots[i] = append(plots[i], p)
		}
	}
	canvas := vgsvg.New(24*vg.Centimeter, vg.Length(len(plots))*9*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(plots), Cols: 2, PadX: vg.Centimeter, PadY: vg.Centimeter}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		for j, area := range row {
			plots[i][j].Draw(area)
		}
	}
	file, err := os.Create(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if _, err := canvas.WriteTo(file); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Close())
}

func evenPlot(table *Table, servers string, column int) (*plot.Plot, error) {
	choosers := evenChoosers[len(evenChoosers)-1]
	p := plot.New()
	p.Title.Text = servers + ", " + strconv.Itoa(choosers) + " choosers"
	p.X.Label.Text = "ms between reports"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Label.Text = table.Columns[column]
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, policy := range evenPolicies {
		points, err := columnPoints(table, evenIntervalColumn, column, map[int]string{
			evenServersColumn: servers, evenChoosersColumn: strconv.Itoa(choosers), evenPolicyColumn: policy.name,
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		lines = append(lines, policy.name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, trace.Wrap(err)
	}
	p.Y.Min = 0
	return p, nil
}
