package detect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
)

// serverCounts are the servers attached to one node: a node beside a single server, the design
// size, and a node that serves a whole rack.
var serverCounts = []int{1, 11, 60}

// benchDetector returns a detector with filled windows and five running requests for each
// server.
func benchDetector(servers int) (*detect.Detector, []string, time.Time) {
	d := detect.New(detect.ServerParams(), nil)
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	names := make([]string, servers)
	for i := range names {
		names[i] = fmt.Sprintf("server-%02d", i)
		d.SetTarget(detect.Target{ID: names[i], Service: "s", Costs: detect.PresetCosts(detect.PresetTrust)})
		d.SetBaseline(names[i], detect.Baseline{Known: true, Median: median, Sigma: 0.5, FailureRate: 0.005})
		for request := range uint64(300) {
			_, latency := healthy(rng)
			d.Observe(detect.Event{Target: names[i], Service: "s", Request: request, At: now})
			if request < 295 {
				d.Observe(detect.Event{Target: names[i], Service: "s", Request: request, At: now.Add(latency), Finished: true, Latency: latency})
			}
		}
	}
	return d, names, now
}

// BenchmarkObserve measures the start and the end of one request.
func BenchmarkObserve(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d, names, now := benchDetector(servers)
			b.ReportAllocs()
			request := uint64(1000)
			for b.Loop() {
				request++
				at := now.Add(time.Duration(request) * time.Millisecond)
				event := detect.Event{Target: names[request%uint64(servers)], Service: "s", Request: request, At: at}
				d.Observe(event)
				event.Finished, event.Latency, event.At = true, median, at.Add(median)
				d.Observe(event)
			}
		})
	}
}

// BenchmarkTick measures one control tick, 100 ms after the last.
func BenchmarkTick(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d, _, now := benchDetector(servers)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				d.Tick(now)
			}
		})
	}
}
