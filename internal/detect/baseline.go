package detect

import (
	"math"
	"sort"
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
	// Failures is the share of failed requests, from 0 to 1.
	Failures float64
}

// Limits of a baseline. A background of failures below 0.5% is not told from
// 0.5%, which keeps a single failure from being strong evidence. Latencies
// below 2 ms are dominated by scheduling and not by the server's work.
const (
	minFailures     = 0.005
	minMedian       = 2 * time.Millisecond
	minSigma        = 0.2
	maxSigma        = 1.5
	defaultMedian   = 100 * time.Millisecond
	defaultSigma    = 0.7
	normalP90       = 1.2816
	normalP95       = 1.6449
	medianPerOctave = 4.0
	failuresPerBin  = 2.0
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
	return Baseline{Median: defaultMedian, Sigma: defaultSigma, Failures: minFailures}
}

// PeerBaseline returns the median of what peers publish. Servers that have
// published nothing must be left out by the caller.
func PeerBaseline(peers []fleet.Observed) Baseline {
	if len(peers) == 0 {
		return DefaultBaseline()
	}
	return Baseline{
		Known:    true,
		Median:   max(medianValue(middle(peers, func(o fleet.Observed) uint8 { return o.Median })), minMedian),
		Sigma:    sigmaValue(middle(peers, func(o fleet.Observed) uint8 { return o.Spread })),
		Failures: failuresValue(middle(peers, func(o fleet.Observed) uint8 { return o.Failures })),
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

// The buckets of fleet.Observed. Medians are in steps of a factor of 2^(1/4)
// from 100 µs, spreads in steps of 0.1, failures in steps of a factor of 2
// from 0.25%.
const (
	medianUnit   = 100 * time.Microsecond
	sigmaStep    = 0.1
	failuresUnit = 0.0025
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
	return max(math.Log(max(ratio, failuresUnit)/failuresUnit)/math.Log(failuresPerBin), 0)
}

func failuresValue(bucket float64) float64 {
	return min(max(failuresUnit*math.Pow(failuresPerBin, bucket), minFailures), 1)
}

// move returns the bucket for value, keeping the old one until value is more
// than three quarters of a step away. Values near the edge of two buckets
// would otherwise change the record, and cost gossip, at every update.
func move(old uint8, value float64) uint8 {
	if old != 0 && math.Abs(value-float64(old)) <= 0.75 {
		return old
	}
	return uint8(min(max(math.Round(value), 0), math.MaxUint8))
}

// Sizes of the windows of a summary. The median over 32 requests shows a
// change of the whole service after about 16 of them, 0.8 s at 20 requests/s;
// its standard error is 11% at a sigma of 0.5, and a bucket moves at 14%.
const (
	shortWindow = 32
	longWindow  = 256
)

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
	fails   int
}

func (w *window) add(s sample) {
	if w.count == longWindow && w.samples[w.next].failed {
		w.fails--
	}
	w.samples[w.next] = s
	if s.failed {
		w.fails++
	}
	w.next = (w.next + 1) % longWindow
	w.count = min(w.count+1, longWindow)
}

// back returns the i-th latest sample, from 1.
func (w *window) back(i int) *sample {
	return &w.samples[(w.next-i+longWindow)%longWindow]
}

// summary returns the published form, starting from the last one. Ages of
// running requests above the median count, so that a service that stalls as a
// whole is seen to be slow by its peers.
func (w *window) summary(old fleet.Observed, ages []float64, scratch []float64) fleet.Observed {
	if w.count < shortWindow/2 {
		return old
	}
	short := w.latest(scratch[:0], shortWindow)
	sort.Float64s(short)
	median := short[len(short)/2]
	for _, age := range ages {
		if age > median {
			short = append(short, age)
		}
	}
	sort.Float64s(short)
	next := old
	next.Median = move(old.Median, medianBucket(time.Duration(short[len(short)/2]*float64(time.Second))))
	next.Failures = move(old.Failures, failuresBucket(float64(w.fails)/float64(w.count)))
	return next
}

// spread returns the bucket of the spread of latencies.
func (w *window) spread(old uint8, scratch []float64) uint8 {
	if w.count < shortWindow/2 {
		return old
	}
	long := w.latest(scratch[:0], longWindow)
	sort.Float64s(long)
	ratio := long[len(long)*9/10] / max(long[len(long)/2], 1e-6)
	return max(move(old, math.Log(ratio)/normalP90/sigmaStep), 1)
}

// latest appends up to n of the newest latencies to buffer.
func (w *window) latest(buffer []float64, n int) []float64 {
	for i := 1; i <= min(n, w.count); i++ {
		buffer = append(buffer, w.back(i).latency.Seconds())
	}
	return buffer
}
