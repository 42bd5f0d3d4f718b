package experiment

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestDetectionIsReproducible guards against output that depends on anything but the
// seed, such as the order in which runs complete.
func TestDetectionIsReproducible(t *testing.T) {
	scale := detectionScale{trials: 4, healthyScale: 0.01, cases: []string{"fail-all", "stall", "one-way-cut", "noise"}}
	first, second := writeDetection(t, scale), writeDetection(t, scale)
	if first != second {
		t.Fatalf("two runs with one seed differ:\n%s\n%s", first, second)
	}
}

// writeDetection returns the contents of the CSV and the SVG file of one run.
func writeDetection(t *testing.T, scale detectionScale) string {
	t.Helper()
	definition := Detection
	definition.Run = func(o Options) (*Table, error) { return runDetection(o, scale), nil }
	dir := t.TempDir()
	options := Options{Seed: 3, CSV: filepath.Join(dir, "out.csv"), Plot: filepath.Join(dir, "out.svg")}
	if err := definition.Execute(options, io.Discard); err != nil {
		t.Fatal(err)
	}
	return readFile(t, options.CSV) + readFile(t, options.Plot)
}

func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestSlowServiceStaysInService guards against ejections that take effect while the whole
// service is slow. Ejections that are withdrawn before that are allowed. The entry nodes
// of the runs also observe peers.
func TestSlowServiceStaysInService(t *testing.T) {
	rows := detectionRows(detectionScale{trials: 30, cases: []string{"service-slow"}})
	for i := range rows {
		if rows[i].policy.name != "tarragon" {
			continue
		}
		falseEjections, setAside := 0, 0
		for trial := range rows[i].outcomes {
			outcome := rows[i].runTrial(1, trial)
			falseEjections += outcome.falseEjections
			setAside += outcome.setAside
		}
		t.Logf("%s: %d false ejections, %d servers set aside", rows[i].deployment.preset, falseEjections, setAside)
		if setAside > 0 {
			t.Errorf("%s: %d servers were set aside in %d slowdowns of the whole service",
				rows[i].deployment.preset, setAside, len(rows[i].outcomes))
		}
	}
}

// maxRepublished limits how often the summary of a healthy server may change in an hour.
// At 2 an hour, 5,300 servers change 3 node records a second, of about 2 KB each.
const maxRepublished = 2.0

// TestSummariesRarelyChange guards against summaries that follow noise: each change is
// gossiped to every node of the fleet.
func TestSummariesRarelyChange(t *testing.T) {
	rows := detectionRows(detectionScale{trials: 1, healthyScale: 0.2, cases: []string{"noise"}})
	for i := range rows {
		if rows[i].policy.name != "tarragon" {
			continue
		}
		changes, seconds := 0, 0.0
		for trial := range rows[i].outcomes {
			outcome := rows[i].runTrial(1, trial)
			changes += outcome.republished
			seconds += outcome.seconds * float64(rows[i].duration-steadyAfter) / float64(rows[i].duration)
		}
		perHour := float64(changes) / seconds * time.Hour.Seconds()
		t.Logf("%s: %.2f changes per server and hour", rows[i].deployment.preset, perHour)
		if perHour > maxRepublished {
			t.Errorf("%s: %.2f changes per server and hour, want at most %.1f", rows[i].deployment.preset, perHour, maxRepublished)
		}
	}
}
