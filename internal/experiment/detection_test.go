package experiment

import (
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestDetectionIsReproducible guards against outputs that depend on the order
// in which runs end, or on anything but the seed.
func TestDetectionIsReproducible(t *testing.T) {
	scale := detectionScale{trials: 4, wellScale: 0.01, cases: []string{"fail-all", "stall", "one-way-cut", "noise"}}
	first, second := writeDetection(t, scale), writeDetection(t, scale)
	if first != second {
		t.Fatalf("two runs with one seed differ:\n%s\n%s", first, second)
	}
}

// writeDetection returns the bytes of the CSV and the SVG file of one run.
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
