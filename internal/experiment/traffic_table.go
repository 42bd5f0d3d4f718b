package experiment

import (
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// trafficColumns are the columns of the routing and overload tables. Goodput is the
// fraction of requests with a response within the deadline; the latencies are those of
// these responses.
var trafficColumns = []string{"policy", "load", "goodput", "p50_ms", "p99_ms", "sent_per_request"}

// Columns of these tables that select and place the points of a plot.
const (
	trafficPolicyColumn = 0
	trafficLoadColumn   = 1
)

// trafficLoads are the simulated loads, relative to the capacity without a fault.
var trafficLoads = []float64{0.5, 0.8, 0.95, 1.3}

// legendHeadroom stretches the vertical axis so that the legend does not cover a line.
const legendHeadroom = 2

func addTrafficRow(table *Table, policy string, load float64, r *trafficResult) {
	table.Add(policy, formatDecimal(load, 2), formatDecimal(r.goodput(), 4), formatDecimal(r.quantileMS(0.5), 2),
		formatDecimal(r.quantileMS(0.99), 2), formatDecimal(r.sentPerRequest(), 4))
}

func formatDecimal(value float64, digits int) string {
	return strconv.FormatFloat(value, 'f', digits, 64)
}

// trafficPlot plots one column against the load, with a line for each policy.
func trafficPlot(title, label string, column int) Plotter {
	return func(table *Table, name string) error {
		p := plot.New()
		p.Title.Text = title
		p.X.Label.Text = "load relative to healthy capacity"
		p.Y.Label.Text = label
		p.Legend.Top = true
		p.Legend.Left = true
		var lines []any
		for _, policy := range policyNames(table) {
			points, err := columnPoints(table, trafficLoadColumn, column, map[int]string{trafficPolicyColumn: policy})
			if err != nil {
				return trace.Wrap(err)
			}
			lines = append(lines, policy, points)
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return trace.Wrap(err)
		}
		p.Y.Min = 0
		p.Y.Max *= legendHeadroom
		return trace.Wrap(p.Save(18*vg.Centimeter, 14*vg.Centimeter, name))
	}
}

func policyNames(table *Table) []string {
	var names []string
	for _, row := range table.Rows {
		if len(names) == 0 || names[len(names)-1] != row[trafficPolicyColumn] {
			names = append(names, row[trafficPolicyColumn])
		}
	}
	return names
}

// columnPoints returns column y against column x of the rows that have the given values in their key
// columns.
func columnPoints(table *Table, x, y int, key map[int]string) (plotter.XYs, error) {
	var points plotter.XYs
rows:
	for _, row := range table.Rows {
		for column, value := range key {
			if row[column] != value {
				continue rows
			}
		}
		xValue, err := strconv.ParseFloat(row[x], 64)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		yValue, err := strconv.ParseFloat(row[y], 64)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		points = append(points, plotter.XY{X: xValue, Y: yValue})
	}
	return points, nil
}
