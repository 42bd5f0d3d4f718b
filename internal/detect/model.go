package detect

import (
	"math"
	"time"
)

// hypothesis is one way in which a target can be unhealthy. Each hypothesis has its own CUSUM
// test: a single test against a mixture of them would be slow to detect any of them.
type hypothesis int

const (
	failAll hypothesis = iota
	failMany
	failFew
	slowAll
	slowSome
	hypothesisCount
)

// lostShare is the share of the work that counts as lost under each hypothesis. It scales the
// cost of late detection. A request that is 4 times slower counts as half a lost one. For the
// failure hypotheses it is also the predicted failure rate.
var lostShare = [hypothesisCount]float64{failAll: 0.95, failMany: 0.30, failFew: 0.05, slowAll: 0.50, slowSome: 0.20}

// Reason names the evidence behind a transition.
type Reason string

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

// Bounds of the log-likelihood ratios of one request, in nats. They keep one outlier, or a model
// that fits badly, from deciding alone: at a background failure rate of 0.5% a failure weighs
// 5.2, so that preset trust needs three failures and paramo four.
const (
	maxFailureLLR = 5.3
	maxLatencyLLR = 3.0
	minLatencyLLR = -2.5
	// Bounds of the log-likelihood ratio that one request of a peer adds for or against a
	// slowdown of the whole service.
	maxPeerLLR = 3.5
	minPeerLLR = -2.5
)

// failureLLR returns the log-likelihood ratio of one outcome. It is -Inf for a hypothesis that
// predicts less than twice the failure rate of the peers, which rules the hypothesis out.
func failureLLR(h hypothesis, failed bool, background float64) float64 {
	share := lostShare[h]
	if share < 2*background {
		return math.Inf(-1)
	}
	if failed {
		return min(math.Log(share/background), maxFailureLLR)
	}
	return math.Log((1 - share) / (1 - background))
}

// Parameters of the latency model. Its grid holds the logarithm of the latency relative to the
// median of the peers.
const (
	gridMin        = -3.0
	gridStep       = 0.1
	gridSize       = 91
	slowAllFactor  = 4 / latencyTolerance
	slowSomeFactor = 10.0
	// Healthy latencies are modelled as lognormal, except for a share of outliers of any latency
	// and a share of slow outliers around slowOutlierFactor.
	outlierShare      = 0.02
	slowOutlierShare  = 0.01
	slowOutlierFactor = 6.0
	slowOutlierSigma  = 0.8
	// slowSomeSigma is the log standard deviation assumed for the slow requests under slowSome.
	slowSomeSigma = 0.6
)

// latencyModel holds the log-likelihood ratios of slowAll and slowSome for one value of sigma:
// exactLLR for a known latency, and censoredLLR for a latency known only to be at least a value.
type latencyModel struct {
	exactLLR    [2][gridSize]float64
	censoredLLR [2][gridSize]float64
	// peerLLR is the log-likelihood ratio of a peer's latency for a healthy service against a
	// slowdown of all of it.
	peerLLR [gridSize]float64
}

func newLatencyModel(sigma float64) *latencyModel {
	var healthyDensity, slowAllDensity, slowSomeDensity [gridSize]float64
	for i := range healthyDensity {
		x := gridMin + float64(i)*gridStep
		uniform := outlierShare / (gridSize * gridStep)
		healthyDensity[i] = (1-outlierShare-slowOutlierShare)*normalDensity(x, 0, sigma) + uniform +
			slowOutlierShare*normalDensity(x, math.Log(slowOutlierFactor), slowOutlierSigma)
		slowAllDensity[i] = (1-outlierShare)*normalDensity(x, math.Log(slowAllFactor), max(sigma, 0.4)) + uniform
		slowSomeDensity[i] = 0.8*healthyDensity[i] + 0.2*normalDensity(x, math.Log(slowSomeFactor), slowSomeSigma)
	}
	m := &latencyModel{}
	for i := range healthyDensity {
		m.peerLLR[i] = min(max(math.Log(healthyDensity[i]/slowAllDensity[i]), minPeerLLR), maxPeerLLR)
	}
	for k, unhealthy := range [2][gridSize]float64{slowAllDensity, slowSomeDensity} {
		healthyTail, unhealthyTail := 0.0, 0.0
		for i := gridSize - 1; i >= 0; i-- {
			healthyTail, unhealthyTail = healthyTail+healthyDensity[i], unhealthyTail+unhealthy[i]
			m.exactLLR[k][i] = clampLLR(math.Log(unhealthy[i] / healthyDensity[i]))
			m.censoredLLR[k][i] = clampLLR(math.Log(unhealthyTail / healthyTail))
		}
	}
	return m
}

func clampLLR(llr float64) float64 { return min(max(llr, minLatencyLLR), maxLatencyLLR) }

func normalDensity(x, mean, sigma float64) float64 {
	z := (x - mean) / sigma
	return math.Exp(-z*z/2) / (sigma * math.Sqrt(2*math.Pi))
}

// gridIndex returns the grid cell of a latency relative to the median.
func gridIndex(latency, median time.Duration) int {
	x := math.Log(max(float64(latency), 1) / float64(median))
	return int(min(max(math.Round((x-gridMin)/gridStep), 0), gridSize-1))
}
