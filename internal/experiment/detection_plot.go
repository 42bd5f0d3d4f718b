package experiment

import (
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// seriesOffset shifts each series horizontally, so that points of one case do not overlap.
	seriesOffset = 0.1
)

// plotDetection draws the p50 detection time of each case and series. There is no point
// where fewer than half of the trials detected the fault.
func plotDetection(table *Table, name string) error {
	p := plot.New()
	p.Title.Text = "Detection time, p50"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	cases, series := detectionSeries(table)
	for i, s := range series {
		if err := addSeries(p, i, s); err != nil {
			return trace.Wrap(err)
		}
	}
	p.NominalX(cases...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -0.9
	return trace.Wrap(p.Save(plotWidth, plotHeight, name))
}

// plotSeries holds the points of one policy and preset.
type plotSeries struct {
	name   string
	points plotter.XYs
}

func addSeries(p *plot.Plot, index int, s plotSeries) error {
	if len(s.points) == 0 {
		return nil
	}
	for i := range s.points {
		s.points[i].X += seriesOffset * float64(index)
	}
	scatter, err := plotter.NewScatter(s.points)
	if err != nil {
		return trace.Wrap(err)
	}
	scatter.Color = plotutil.Color(index)
	scatter.Shape = plotutil.Shape(index)
	p.Add(scatter)
	p.Legend.Add(s.name, scatter)
	return nil
}

// detectionSeries returns the cases with a fault and the points of each series,
// both in the order of the table.
func detectionSeries(table *Table) ([]string, []plotSeries) {
	var cases []string
	var series []plotSeries
	caseIndex, seriesIndex := map[string]int{}, map[string]int{}
	for _, row := range table.Rows {
		value, err := strconv.ParseFloat(row[3], 64)
		if err != nil {
			continue
		}
		if _, known := caseIndex[row[2]]; !known {
			caseIndex[row[2]] = len(cases)
			cases = append(cases, row[2])
		}
		name := row[0] + " " + row[1]
		if _, known := seriesIndex[name]; !known {
			seriesIndex[name] = len(series)
			series = append(series, plotSeries{name: name})
		}
		if value > 0 {
			s := &series[seriesIndex[name]]
			s.points = append(s.points, plotter.XY{X: float64(caseIndex[row[2]]), Y: value})
		}
	}
	return cases, series
}
