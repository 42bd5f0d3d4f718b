// Package detect judges the health of backend servers, and of the paths to the nodes that host
// them, from the results of real requests.
//
// A Detector runs one CUSUM test per fault hypothesis and target. Each test sums log-likelihood
// ratios of outcomes or latencies against a baseline taken from the peers of the target. A
// separate rule covers stalls, in which requests run and none finishes. A target changes state
// when the evidence crosses a share of a threshold that follows from the costs of late detection
// and of a false ejection.
//
// Limits: health probes are not evidence. A verdict on latency or on a stall waits until recent
// requests to the peers, or the time their summaries need to arrive, indicate that the fault is
// not one of the whole service. Baselines below a median of 2 ms or a failure rate of 0.5% are
// raised to these values.
package detect
