package experiment

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// trafficTestDuration is short, to keep the tests fast.
const trafficTestDuration = 3 * time.Second

// TestTrafficSameSeedSameFiles guards against output that depends on anything but the
// seed, such as map iteration order.
func TestTrafficSameSeedSameFiles(t *testing.T) {
	definition := Definition{
		Run:  func(o Options) (*Table, error) { return runOverload(o.Seed, trafficTestDuration), nil },
		Plot: Overload.Plot,
	}
	var csv, svg [3][]byte
	for i, seed := range []uint64{7, 7, 8} {
		options := Options{Seed: seed, CSV: filepath.Join(t.TempDir(), "t.csv"), Plot: filepath.Join(t.TempDir(), "t.svg")}
		if err := definition.Execute(options, io.Discard); err != nil {
			t.Fatal(err)
		}
		csv[i], svg[i] = read(t, options.CSV), read(t, options.Plot)
	}
	if !bytes.Equal(csv[0], csv[1]) || !bytes.Equal(svg[0], svg[1]) {
		t.Error("the same seed gave different files")
	}
	if bytes.Equal(csv[0], csv[2]) {
		t.Error("another seed gave the same file")
	}
}

func read(t *testing.T, name string) []byte {
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestTrafficSheddingIsBounded guards against retries that multiply the load when every
// server sheds. Retries without a budget must do so, to show that the model can.
func TestTrafficSheddingIsBounded(t *testing.T) {
	sent := map[string]float64{}
	for _, row := range runOverload(1, trafficTestDuration).Rows {
		value, err := strconv.ParseFloat(row[5], 64)
		if err != nil {
			t.Fatal(err)
		}
		sent[row[0]] = max(sent[row[0]], value)
	}
	if sent["budget-hedge"] >= 1.2 || sent["budget-hedge-all-shedding"] >= 1.2 || sent["budget-hedge-onset"] >= 1.2 || sent["retry-3-all-shedding"] < 3 {
		t.Errorf("attempts per request: %v", sent)
	}
}

// TestTrafficRoutingAvoidsGrayServer guards against server selection that does not react
// to a slow server: its p99 must be at least a tenth below that of round robin.
func TestTrafficRoutingAvoidsGrayServer(t *testing.T) {
	p99 := map[trafficChooser]float64{}
	for _, chooser := range []trafficChooser{choosePowerOfTwo, chooseRoundRobin} {
		result := runTraffic(trafficCase{
			seed: 1, policy: trafficPolicy{chooser: chooser, retries: 2, budgeted: true}, entryNodes: trafficEntries,
			load: 0.5, duration: trafficTestDuration, deadline: routingDeadline, graySlowdown: routingGraySlowdown,
		})
		p99[chooser] = result.quantileMS(0.99)
	}
	if p99[choosePowerOfTwo] > 0.9*p99[chooseRoundRobin] {
		t.Errorf("p99 by chooser: %v", p99)
	}
}
