package detect

import (
	"math"
	"time"
)

// hypothesis is one way in which a target can be unhealthy. Each has its own
// CUSUM: a single test against a mixture would be slow for all of them.
type hypothesis int

const (
	failAll hypothesis = iota
	failMany
	failFew
	slowAll
	slowSome
	hypotheses
)

// lostShare is the share of the work that counts as lost under a hypothesis.
// It scales the cost of late detection. A request that is 4 times slower
// counts as half a lost one.
var lostShare = [hypotheses]float64{failAll: 0.95, failMany: 0.30, failFew: 0.05, slowAll: 0.50, slowSome: 0.20}

// Reason names the evidence behind a transition.
type Reason string

// The reasons.
const (
	ReasonFailures  Reason = "failures"
	ReasonLatency   Reason = "latency"
	ReasonStall     Reason = "stall"
	ReasonHoldEnded Reason = "hold-ended"
	ReasonSuccesses Reason = "successes"
	ReasonCleared   Reason = "evidence-cleared"
)

func (h hypothesis) reason() Reason {
	if h >= slowAll {
		return ReasonLatency
	}
	return ReasonFailures
}

// Bounds of the evidence of one request in nats. They keep one odd request, or
// a model that fits badly, from deciding alone: at a background of 0.5% a
// failure weighs 5.2, so that trust needs three and paramo four.
const (
	maxFailureGain = 5.3
	maxLatencyGain = 3.0
	maxLatencyLoss = -2.5
	// Bounds of what one request of a peer says for or against a slowdown of
	// the whole service.
	maxSupport = 3.5
	minSupport = -2.5
)

// failureGain returns the log-likelihood ratio of one outcome. A hypothesis
// that predicts hardly more failures than the peers show is no alternative.
func failureGain(h hypothesis, failed bool, background float64) float64 {
	share := lostShare[h]
	if share < 2*background {
		return math.Inf(-1)
	}
	if failed {
		return min(math.Log(share/background), maxFailureGain)
	}
	return math.Log((1 - share) / (1 - background))
}

// The grid of the latency model: the logarithm of the latency over the median
// of the peers, in steps.
const (
	gridLow   = -3.0
	gridStep  = 0.1
	gridSize  = 91
	slowShift = 4 / tolerance
	someShift = 10.0
	// Healthy requests are lognormal, but for a share of outliers of any
	// latency and a share of slow ones around slowOutlierShift.
	outliers         = 0.02
	slowOutliers     = 0.01
	slowOutlierShift = 6.0
	slowOutlierSigma = 0.8
	// someSpread is the spread assumed for the slow part under slowSome.
	someSpread = 0.6
)

// latencyModel holds log-likelihood ratios for one spread, at the exact
// latency and for "at least this latency".
type latencyModel struct {
	exact   [2][gridSize]float64
	atLeast [2][gridSize]float64
	// support is the evidence of a peer's latency against a slowdown.
	support [gridSize]float64
}

func newLatencyModel(sigma float64) *latencyModel {
	var healthy, slow, some [gridSize]float64
	for i := range healthy {
		x := gridLow + float64(i)*gridStep
		broad := outliers / (gridSize * gridStep)
		healthy[i] = (1-outliers-slowOutliers)*normal(x, 0, sigma) + broad +
			slowOutliers*normal(x, math.Log(slowOutlierShift), slowOutlierSigma)
		slow[i] = (1-outliers)*normal(x, math.Log(slowShift), max(sigma, 0.4)) + broad
		some[i] = 0.8*healthy[i] + 0.2*normal(x, math.Log(someShift), someSpread)
	}
	m := &latencyModel{}
	for i := range healthy {
		m.support[i] = min(max(math.Log(healthy[i]/slow[i]), minSupport), maxSupport)
	}
	for k, unhealthy := range [2][gridSize]float64{slow, some} {
		tail0, tail1 := 0.0, 0.0
		for i := gridSize - 1; i >= 0; i-- {
			tail0, tail1 = tail0+healthy[i], tail1+unhealthy[i]
			m.exact[k][i] = clampGain(math.Log(unhealthy[i] / healthy[i]))
			m.atLeast[k][i] = clampGain(math.Log(tail1 / tail0))
		}
	}
	return m
}

func clampGain(gain float64) float64 { return min(max(gain, maxLatencyLoss), maxLatencyGain) }

func normal(x, mean, sigma float64) float64 {
	z := (x - mean) / sigma
	return math.Exp(-z*z/2) / (sigma * math.Sqrt(2*math.Pi))
}

// gridIndex places a latency relative to the median.
func gridIndex(latency, median time.Duration) int {
	x := math.Log(max(float64(latency), 1) / float64(median))
	return int(min(max(math.Round((x-gridLow)/gridStep), 0), gridSize-1))
}
