package detect

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Buckets of the fields of fleet.Observed. Medians are in steps of a factor of 2^(1/4) from 100
// µs, spreads in steps of 0.1, failure rates in steps of a factor of 4 from 0.5%.
const (
	medianMin            = 100 * time.Microsecond
	medianStepsPerOctave = 4.0
	sigmaStep            = 0.1
	failureRateMin       = 0.005
	failureRateFactor    = 4.0
)

// Hysteresis of the published values: how far an estimate must move, in steps, before the
// published value follows. Every change is sent by gossip to the whole fleet: 5,300 servers that
// changed once a minute would cost each node 220 KB/s, of a budget of 13 KB/s. The slow
// estimates have a standard error of 0.25 steps or less. fastMedianChange is a factor of 2: the
// standard error of the fast median is half a step, and a slowdown by less than 2 leads to no
// verdict.
const (
	medianHysteresis      = 1.5
	spreadHysteresis      = 1.5
	failureRateHysteresis = 1.0
	fastMedianChange      = 4.0
	fastFailureRateChange = 0.25
)

// Sizes of the windows. The median over 48 requests shows a change of the whole service after
// about 24 of them, 1.2 s at 20 requests/s.
const (
	shortWindow = 48
	longWindow  = 256
	// noticeSamples is the number of requests after a change that move the fast median.
	noticeSamples = shortWindow * 5 / 8
	// minSamples is the number of requests before the first summary.
	minSamples = 16
	// minSlowSamples is the number of requests before the slow estimates are used.
	minSlowSamples = 128
	// maxSpreadEstimates is the number of estimates of the spread, one every spreadInterval,
	// that are averaged.
	maxSpreadEstimates = 32
	// initialSpread is published until there are enough samples for an estimate. It is wide, so
	// that a new service gets verdicts on latency only when they are clear.
	initialSpread = 7
	// failureRateWeight is the weight of one request in the smoothed failure rate.
	failureRateWeight = 1.0 / 1024
)

func medianBucket(d time.Duration) float64 {
	return 1 + medianStepsPerOctave*math.Log2(max(float64(d)/float64(medianMin), 1))
}

func medianValue(bucket float64) time.Duration {
	return time.Duration(float64(medianMin) * math.Exp2((bucket-1)/medianStepsPerOctave))
}

func sigmaValue(bucket float64) float64 {
	return min(max(bucket*sigmaStep, minSigma), maxSigma)
}

func failureRateBucket(ratio float64) float64 {
	return max(math.Log(max(ratio, failureRateMin)/failureRateMin)/math.Log(failureRateFactor), 0)
}

func failureRateValue(bucket float64) float64 {
	return min(max(failureRateMin*math.Pow(failureRateFactor, bucket), minFailureRate), 1)
}

// applyHysteresis returns the bucket for value, or the old bucket while value is at most the
// given number of steps away from it.
func applyHysteresis(old uint8, value, steps float64) uint8 {
	if math.Abs(value-float64(old)) <= steps {
		return old
	}
	return uint8(min(max(math.Round(value), 0), math.MaxUint8))
}

// sample is one finished request of a target.
type sample struct {
	// at is in nanoseconds of Unix time.
	at      int64
	latency time.Duration
	failed  bool
	// noLatencyEvidence marks samples whose latency is not evidence: failures, and requests that
	// overlapped a cold start or a pause of this process.
	noLatencyEvidence bool
}

// window keeps the latest finished requests of one target.
type window struct {
	samples [longWindow]sample
	next    int
	count   int
	// finished counts all requests, and failureRate is their smoothed failure rate.
	finished    uint64
	failureRate float64
	// spread is the mean of the latest estimates of the spread.
	spread          float64
	spreadEstimates float64
	// slowPublished is set by the first slow estimate after the start or the last fast change.
	// That estimate is published without hysteresis, later ones with it.
	slowPublished bool
	// remeasure is set from a fast change until the median is free of requests from before the
	// change.
	remeasure bool
}

func (w *window) add(s sample) {
	w.samples[w.next] = s
	w.next = (w.next + 1) % longWindow
	w.count = min(w.count+1, longWindow)
	w.finished++
	failed := 0.0
	if s.failed {
		failed = 1
	}
	w.failureRate += failureRateWeight * (failed - w.failureRate)
}

// nthLatest returns the i-th latest sample, counted from 1.
func (w *window) nthLatest(i int) *sample {
	return &w.samples[(w.next-i+longWindow)%longWindow]
}

// updateFast updates the fields that must follow a change of the whole service quickly.
// stalledFor is the time without progress of a server that seems stalled. It counts as the
// server's latency, so that a service that stalls as a whole is seen to be slow.
func (w *window) updateFast(old fleet.Observed, stalledFor time.Duration, buffer []float64) fleet.Observed {
	if w.count < minSamples {
		return old
	}
	next := old
	latencies, failed := w.latestLatencies(buffer, shortWindow)
	median := max(medianBucket(secondsToDuration(latencies[len(latencies)/2])), medianBucket(stalledFor))
	switch {
	case old.Median == 0:
		next.Median, next.Spread = applyHysteresis(0, median, 0), initialSpread
	case math.Abs(median-float64(old.Median)) > fastMedianChange:
		next.Median = applyHysteresis(old.Median, median, fastMedianChange)
		w.count = min(w.count, shortWindow)
		w.slowPublished, w.remeasure = false, true
	case w.remeasure && w.count >= 2*shortWindow:
		// Half of the requests behind the fast change were older than it.
		next.Median, w.remeasure = applyHysteresis(old.Median, median, 0), false
	}
	if share := float64(failed) / float64(len(latencies)); share > failureRateValue(float64(old.Failures))+fastFailureRateChange {
		w.failureRate = share
	}
	next.Failures = applyHysteresis(old.Failures, failureRateBucket(w.failureRate), failureRateHysteresis)
	return next
}

// updateSlow updates the estimates that need a long window. updateFast shortens the window after
// a fast change, because older requests belong to another state of the service.
func (w *window) updateSlow(old fleet.Observed, buffer []float64) fleet.Observed {
	if w.count < minSlowSamples {
		return old
	}
	next := old
	latencies, _ := w.latestLatencies(buffer, longWindow)
	median := latencies[len(latencies)/2]
	sigma := math.Log(latencies[len(latencies)*9/10]/max(median, 1e-6)) / normalQuantile90
	w.spreadEstimates = min(w.spreadEstimates+1, maxSpreadEstimates)
	w.spread += (sigma - w.spread) / w.spreadEstimates
	steps := medianHysteresis
	if !w.slowPublished {
		w.slowPublished, steps = true, 0
	}
	next.Median = applyHysteresis(old.Median, medianBucket(secondsToDuration(median)), steps)
	next.Spread = max(applyHysteresis(old.Spread, w.spread/sigmaStep, spreadHysteresis), 1)
	return next
}

// latestLatencies returns up to n of the newest latencies in seconds, in ascending order, and
// the number of failures among them.
func (w *window) latestLatencies(buffer []float64, n int) ([]float64, int) {
	buffer, failed := buffer[:0], 0
	for i := 1; i <= min(n, w.count); i++ {
		s := w.nthLatest(i)
		buffer = append(buffer, s.latency.Seconds())
		if s.failed {
			failed++
		}
	}
	sort.Float64s(buffer)
	return buffer, failed
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
