package detect

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Baseline is what the other servers of a service show now.
type Baseline struct {
	// Known is false when no peer has published a summary.
	Known bool
	// Median is the latency that half of the requests stay under.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the latency.
	Sigma float64
	// FailureRate is the share of failed requests, from 0 to 1.
	FailureRate float64
}

// Limits of a baseline. A background of failures below 0.5% is not told from
// 0.5%, which keeps a single failure from being strong evidence. Latencies
// below 2 ms are dominated by scheduling and not by the server's work.
const (
	minFailures   = 0.005
	minMedian     = 2 * time.Millisecond
	minSigma      = 0.2
	maxSigma      = 1.5
	defaultMedian = 100 * time.Millisecond
	defaultSigma  = 0.7
	normalP90     = 1.2816
	normalP95     = 1.6449
	// tolerance is how much slower than the median of its peers, or than what
	// is typical of it, a healthy server may be for a while.
	tolerance = 1.2
	// maxTypical bounds how much slower than its peers a server may be at all
	// times; typicalTime is the time in which the detector learns it.
	maxTypical  = 1.6
	typicalTime = time.Minute
)

// DefaultBaseline holds for a service without peers.
func DefaultBaseline() Baseline {
	return Baseline{Median: defaultMedian, Sigma: defaultSigma, FailureRate: minFailures}
}

// PeerBaseline returns the median of what peers publish. Servers that have
// published nothing must be left out by the caller.
func PeerBaseline(peers []fleet.Observed) Baseline {
	if len(peers) == 0 {
		return DefaultBaseline()
	}
	return Baseline{
		Known:       true,
		Median:      max(medianValue(middle(peers, func(o fleet.Observed) uint8 { return o.Median })), minMedian),
		Sigma:       sigmaValue(middle(peers, func(o fleet.Observed) uint8 { return o.Spread })),
		FailureRate: failuresValue(middle(peers, func(o fleet.Observed) uint8 { return o.Failures })),
	}
}

// middle returns the upper median of one field.
func middle(peers []fleet.Observed, field func(fleet.Observed) uint8) float64 {
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

// p95 returns the latency that 95 requests in 100 stay under.
func (b Baseline) p95() time.Duration {
	return time.Duration(float64(b.Median) * math.Exp(normalP95*b.Sigma))
}
