package detect

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// The buckets of fleet.Observed. Medians are in steps of a factor of 2^(1/4)
// from 100 µs, spreads in steps of 0.1, failures in steps of a factor of 4
// from 0.5%.
const (
	medianUnit      = 100 * time.Microsecond
	medianPerOctave = 4.0
	sigmaStep       = 0.1
	failuresUnit    = 0.005
	failuresPerStep = 4.0
)

// How far an estimate moves, in steps, before the published value follows.
// Every change is gossip to the whole fleet: 5,300 servers that changed once a
// minute would cost each node 220 KB/s, of a budget of 13 KB/s. The slow
// estimates have a standard error of 0.25 steps or less. fastMedian is a factor
// of 2: the standard error of the fast median is half a step, and a slowdown
// below 2 brings no verdict.
const (
	moveMedian   = 1.5
	moveSpread   = 1.5
	moveFailures = 1.0
	fastMedian   = 4.0
	fastFailures = 0.25
)

// Sizes of the windows. The median over 48 requests shows a change of the
// whole service after about 24 of them, 1.2 s at 20 requests/s.
const (
	shortWindow = 48
	longWindow  = 256
	// noticeAfter is the number of changed requests that move the fast median.
	noticeAfter = shortWindow * 5 / 8
	// minWindow is the number of requests before the first summary.
	minWindow = 16
	// settledWindow is the number before the slow estimates are trusted.
	settledWindow = 128
	// spreadEstimates is the number of estimates of the spread, one every
	// spreadInterval, that are averaged.
	spreadEstimates = 32
	// unknownSpread is published until the window has settled. It is wide, so
	// that a new service brings no verdict on latency that is not clear.
	unknownSpread = 7
	// failuresWeight is the weight of one more request.
	failuresWeight = 1.0 / 1024
)

func medianBucket(d time.Duration) float64 {
	return 1 + medianPerOctave*math.Log2(max(float64(d)/float64(medianUnit), 1))
}

func medianValue(bucket float64) time.Duration {
	return time.Duration(float64(medianUnit) * math.Exp2((bucket-1)/medianPerOctave))
}

func sigmaValue(bucket float64) float64 {
	return min(max(bucket*sigmaStep, minSigma), maxSigma)
}

func failuresBucket(ratio float64) float64 {
	return max(math.Log(max(ratio, failuresUnit)/failuresUnit)/math.Log(failuresPerStep), 0)
}

func failuresValue(bucket float64) float64 {
	return min(max(failuresUnit*math.Pow(failuresPerStep, bucket), minFailures), 1)
}

// move returns the bucket for value, keeping the old one until value is more
// than the given number of steps away.
func move(old uint8, value, steps float64) uint8 {
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
	// unrated samples are no evidence of latency: failures, and requests that
	// met a cold start or a pause of this process.
	unrated bool
}

// window keeps the latest finished requests of one target.
type window struct {
	samples [longWindow]sample
	next    int
	count   int
	// finished counts all requests, and failures is their smoothed share.
	finished uint64
	failures float64
	// spread is the mean of the latest estimates of the spread.
	spread    float64
	estimates float64
	// settled is set after the first slow estimate since the start or the last
	// fast change. That one is published as it is, and later ones only when
	// they have moved.
	settled bool
	// recheck is set between a fast change and a median without older requests.
	recheck bool
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
	w.failures += failuresWeight * (failed - w.failures)
}

// back returns the i-th latest sample, from 1.
func (w *window) back(i int) *sample {
	return &w.samples[(w.next-i+longWindow)%longWindow]
}

// fast updates what a change of the whole service moves at once. idle is the
// time without progress of a server that seems stalled: it counts as its
// latency, so that a service that stalls as a whole is seen to be slow.
func (w *window) fast(old fleet.Observed, idle time.Duration, scratch []float64) fleet.Observed {
	if w.count < minWindow {
		return old
	}
	next := old
	latencies, failed := w.latest(scratch, shortWindow)
	median := max(medianBucket(seconds(latencies[len(latencies)/2])), medianBucket(idle))
	switch {
	case old.Median == 0:
		next.Median, next.Spread = move(0, median, 0), unknownSpread
	case math.Abs(median-float64(old.Median)) > fastMedian:
		next.Median = move(old.Median, median, fastMedian)
		w.count = min(w.count, shortWindow)
		w.settled, w.recheck = false, true
	case w.recheck && w.count >= 2*shortWindow:
		// Half of the requests behind the fast change were older than it.
		next.Median, w.recheck = move(old.Median, median, 0), false
	}
	if share := float64(failed) / float64(len(latencies)); share > failuresValue(float64(old.Failures))+fastFailures {
		w.failures = share
	}
	next.Failures = move(old.Failures, failuresBucket(w.failures), moveFailures)
	return next
}

// slow updates the estimates that need a long window. After a fast change the
// window starts anew, because what is older belongs to another state.
func (w *window) slow(old fleet.Observed, scratch []float64) fleet.Observed {
	if w.count < settledWindow {
		return old
	}
	next := old
	latencies, _ := w.latest(scratch, longWindow)
	median := latencies[len(latencies)/2]
	sigma := math.Log(latencies[len(latencies)*9/10]/max(median, 1e-6)) / normalP90
	w.estimates = min(w.estimates+1, spreadEstimates)
	w.spread += (sigma - w.spread) / w.estimates
	steps := moveMedian
	if !w.settled {
		w.settled, steps = true, 0
	}
	next.Median = move(old.Median, medianBucket(seconds(median)), steps)
	next.Spread = max(move(old.Spread, w.spread/sigmaStep, moveSpread), 1)
	return next
}

// latest returns up to n of the newest latencies in seconds, in ascending
// order, and the number of failures among them.
func (w *window) latest(buffer []float64, n int) ([]float64, int) {
	buffer, failed := buffer[:0], 0
	for i := 1; i <= min(n, w.count); i++ {
		s := w.back(i)
		buffer = append(buffer, s.latency.Seconds())
		if s.failed {
			failed++
		}
	}
	sort.Float64s(buffer)
	return buffer, failed
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
