package detect

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Baseline describes the current behaviour of the other servers of a service.
type Baseline struct {
	// Known is false when no peer has published a summary.
	Known bool
	// Median is the median latency.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the latency.
	Sigma float64
	// FailureRate is the share of failed requests, from 0 to 1.
	FailureRate float64
}

// Limits of a baseline. Background failure rates below 0.5% are treated as 0.5%, which keeps a
// single failure from being strong evidence. Latencies below 2 ms are dominated by scheduling
// and not by the server's work.
const (
	minFailureRate   = 0.005
	minMedian        = 2 * time.Millisecond
	minSigma         = 0.2
	maxSigma         = 1.5
	defaultMedian    = 100 * time.Millisecond
	defaultSigma     = 0.7
	normalQuantile90 = 1.2816
	normalQuantile95 = 1.6449
	// latencyTolerance is how much slower a healthy server may be for a while, relative to the
	// median of its peers or to its usual ratio to that median.
	latencyTolerance = 1.2
	// maxPeerRatio bounds the learned ratio of a server's usual latency to that of its peers;
	// peerRatioTime is the time constant with which the detector learns it.
	maxPeerRatio  = 1.6
	peerRatioTime = time.Minute
)

// DefaultBaseline returns the baseline of a service without peers.
func DefaultBaseline() Baseline {
	return Baseline{Median: defaultMedian, Sigma: defaultSigma, FailureRate: minFailureRate}
}

// PeerBaseline returns a baseline of the medians of the summaries that peers publish. The caller
// must leave out servers that have not published a summary.
func PeerBaseline(peers []fleet.Observed) Baseline {
	if len(peers) == 0 {
		return DefaultBaseline()
	}
	return Baseline{
		Known:       true,
		Median:      max(medianValue(upperMedian(peers, func(o fleet.Observed) uint8 { return o.Median })), minMedian),
		Sigma:       sigmaValue(upperMedian(peers, func(o fleet.Observed) uint8 { return o.Spread })),
		FailureRate: failureRateValue(upperMedian(peers, func(o fleet.Observed) uint8 { return o.Failures })),
	}
}

// upperMedian returns the upper median of one field of the summaries.
func upperMedian(peers []fleet.Observed, field func(fleet.Observed) uint8) float64 {
	var counts [256]int
	for _, peer := range peers {
		counts[field(peer)]++
	}
	seen := 0
	for value, count := range counts {
		seen += count
		if seen > len(peers)/2 {
			return float64(value)
		}
	}
	return 0
}

// p95 returns the 95th percentile of the latency.
func (b Baseline) p95() time.Duration {
	return time.Duration(float64(b.Median) * math.Exp(normalQuantile95*b.Sigma))
}
