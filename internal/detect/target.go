package detect

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Target describes a backend server or a path that a Detector judges.
type Target struct {
	// ID is the target of events.
	ID string
	// Service is the service of a server; empty for a path.
	Service string
	// Costs set the threshold of evidence.
	Costs Costs
	// Incarnation changes when the target restarts.
	Incarnation uint64
	// WarmUntil is the end of a cold start.
	WarmUntil time.Time
}

const (
	// blockLength and maxBlockGain bound the evidence from latency in a time.
	// All requests that one pause delayed end together; without the bound they
	// would count as independent evidence. A pause of 200 ms falls into one
	// block, which opens with the first delayed request.
	blockLength  = 250 * time.Millisecond
	maxBlockGain = 6.0
	// replayed is the number of finished requests whose latency is rated again
	// when the baseline changes.
	replayed = 64
	// coldFactor is how much slower than warm peers a cold server may be
	// before it counts as stalled.
	coldFactor = 4.0
	// capAbove bounds evidence above the threshold, so that it can fall soon
	// after the cause ends.
	capAbove = 4.0
	// maxRunning bounds the running requests kept for a target. It is several
	// times the connections that a server takes.
	maxRunning = 2048
	// maxAge is the age after which a running request is forgotten: the
	// longest deadline is 30 s, so its end was lost.
	maxAge = 2 * time.Minute
	// maxStuckGain bounds the evidence of a stall per request that waits.
	maxStuckGain = 4.0
	// summaryInterval is the time between two updates of the published summary.
	summaryInterval = 200 * time.Millisecond
	// spreadInterval is the time between two updates of the spread, which
	// takes a sort of the whole window.
	spreadInterval = 2 * time.Second
)

// cusum is the running test of one hypothesis.
type cusum struct {
	value float64
	// lowAt is the last time at which the value was below a third of the
	// threshold; what made it cross began after that.
	lowAt time.Time
	// blockAt is the start of the current block, and blockStart the value then.
	blockAt    time.Time
	blockStart float64
}

func (c *cusum) add(gain, threshold float64, at time.Time) {
	c.value = min(max(c.value+gain, 0), threshold+capAbove)
	if c.value < threshold/3 {
		c.lowAt = at
	}
}

func (c *cusum) addBounded(gain, threshold float64, at time.Time) {
	if gain > 0 {
		if at.Sub(c.blockAt) >= blockLength {
			c.blockAt, c.blockStart = at, c.value
		}
		gain = min(gain, max(c.blockStart+maxBlockGain-c.value, 0))
	}
	c.add(gain, threshold, at)
}

// request is one running request.
type request struct {
	id      uint64
	started time.Time
	// counted is the evidence already added for its age, by hypothesis.
	counted [2]float64
}

// target is the state of one judged target.
type target struct {
	Target
	thresholds [hypotheses]float64
	baseline   Baseline
	reference  time.Duration
	// calm is the median that a rise is measured from, roseAt the time of the
	// last rise.
	calm   time.Duration
	roseAt time.Time
	// typical is how much slower than its peers the target is when healthy.
	typical  float64
	model    *latencyModel
	failGain [2][hypotheses]float64

	tests [hypotheses]cusum
	// running is a slice, so that evidence is added in a fixed order; a server
	// has few running requests.
	running  []request
	progress time.Time
	stall    float64
	// idle is the time without progress of a target that seems stalled.
	idle     time.Duration
	stallLow time.Time
	window   window
	observed fleet.Observed
	// summaryAt is the time of the next summary.
	summaryAt time.Time
	spreadAt  time.Time

	health    fleet.Health
	since     time.Time
	lowSince  time.Time
	successes int
	// strikes doubles the hold time; struckAt is when it last changed.
	strikes  int
	struckAt time.Time
	hold     time.Duration
}

func newTarget(t Target) *target {
	s := &target{health: fleet.Healthy, typical: 1}
	s.describe(t)
	return s
}

func (s *target) describe(t Target) {
	s.Target = t
	for h := range s.thresholds {
		s.thresholds[h] = t.Costs.Threshold(lostShare[h])
	}
}

func (s *target) setBaseline(b Baseline, model *latencyModel, now time.Time) {
	s.watchRise(b, now)
	changed := b.Median != s.baseline.Median || b.Sigma != s.baseline.Sigma
	s.baseline, s.model = b, model
	if changed {
		s.setReference()
		s.replay()
	}
	for h := failAll; h < slowAll; h++ {
		s.failGain[0][h] = failureGain(h, false, b.FailureRate)
		s.failGain[1][h] = failureGain(h, true, b.FailureRate)
	}
}

// setReference sets the latency that others are compared with.
func (s *target) setReference() {
	s.reference = time.Duration(float64(s.baseline.Median) * tolerance * max(s.typical, 1))
}

// learnTypical follows the lasting difference between a healthy target and its
// peers. Servers of a service differ by tens of percent, and a fault changes
// little within the time it takes to detect it.
func (s *target) learnTypical() {
	if !s.baseline.Known || s.observed.Median == 0 || s.health != fleet.Healthy || s.lowSince.IsZero() {
		return
	}
	ratio := float64(medianValue(float64(s.observed.Median))) / float64(s.baseline.Median)
	weight := summaryInterval.Seconds() / typicalTime.Seconds()
	s.typical += weight * (min(max(ratio, 1), maxTypical) - s.typical)
	s.setReference()
}

// watchRise notes when the baseline has risen by more than usual movement.
func (s *target) watchRise(b Baseline, now time.Time) {
	if s.baseline.Known && b.Known && float64(b.Median) >= riseFactor*float64(s.calm) {
		s.roseAt, s.calm = now, b.Median
	}
	if !s.baseline.Known || b.Median < s.calm {
		s.calm = b.Median
	}
}

// replay rates the latest latencies by the new baseline. Evidence gathered by
// the old one would otherwise outlive the comparison it rests on: when a whole
// service slows down, every server would be ejected for its past at the time
// at which its peers begin to look the same.
func (s *target) replay() {
	for h := slowAll; h < hypotheses; h++ {
		s.tests[h] = cusum{lowAt: s.tests[h].lowAt}
	}
	for i := range s.running {
		s.running[i].counted = [2]float64{}
	}
	for i := min(replayed, s.window.count); i >= 1; i-- {
		if old := s.window.back(i); !old.unrated {
			s.addLatency(&request{}, old.latency, false, time.Unix(0, old.at))
		}
	}
}

func (s *target) cold(now time.Time) bool { return now.Before(s.WarmUntil) }

// addOutcome adds the evidence of a finished request.
func (s *target) addOutcome(failed bool, at time.Time) {
	row := &s.failGain[0]
	if failed {
		row = &s.failGain[1]
	}
	for h := failAll; h < slowAll; h++ {
		s.tests[h].add(row[h], s.thresholds[h], at)
	}
}

// addLatency adds the evidence of a latency beyond what was counted for the
// age of the same request. A censored latency is a lower bound.
func (s *target) addLatency(r *request, latency time.Duration, censored bool, at time.Time) {
	index := gridIndex(latency, s.reference)
	for k := range r.counted {
		gain := s.model.exact[k][index]
		if censored {
			gain = max(s.model.atLeast[k][index], 0)
		}
		h := slowAll + hypothesis(k)
		s.tests[h].addBounded(gain-r.counted[k], s.thresholds[h], at)
		r.counted[k] = gain
	}
}

// take removes a running request and returns it.
func (s *target) take(id uint64) (request, bool) {
	for i := range s.running {
		if s.running[i].id == id {
			r := s.running[i]
			s.remove(i)
			return r, true
		}
	}
	return request{}, false
}

func (s *target) remove(i int) {
	last := len(s.running) - 1
	s.running[i] = s.running[last]
	s.running = s.running[:last]
}

// forgetOld removes requests whose end must have been lost.
func (s *target) forgetOld(now time.Time) {
	for i := len(s.running) - 1; i >= 0; i-- {
		if now.Sub(s.running[i].started) > maxAge {
			s.remove(i)
		}
	}
}

// ageRunning counts the ages of running requests and returns how many are
// older than usual and since when nothing has made progress.
func (s *target) ageRunning(now, resumed time.Time, p *Params) {
	usual := s.baseline.p95()
	if s.cold(now) {
		usual = time.Duration(float64(usual) * coldFactor)
	}
	latency := p.UseLatency && s.baseline.Known && !s.cold(now)
	var oldest time.Time
	stuck := 0
	s.forgetOld(now)
	for i := range s.running {
		r := &s.running[i]
		start := latest(r.started, resumed)
		age := now.Sub(start)
		if oldest.IsZero() || start.Before(oldest) {
			oldest = start
		}
		if age > usual {
			stuck++
		}
		if latency && age > usual {
			s.addLatency(r, age, true, now)
		}
	}
	s.setStall(now, oldest, stuck, usual, p)
}

// setStall rates the time for which requests ran and none finished.
func (s *target) setStall(now, oldest time.Time, stuck int, usual time.Duration, p *Params) {
	s.stall, s.idle = 0, 0
	since := latest(oldest, s.progress)
	if stuck > 0 {
		excess := now.Sub(since) - usual - p.PauseAllowance
		s.stall = min(max(float64(excess)/float64(p.StallScale), 0), maxStuckGain*float64(stuck))
		s.stall = min(s.stall, s.thresholds[failAll]+capAbove)
	}
	if s.stall == 0 {
		s.stallLow = since
	}
	if s.stall >= suspectShare*s.thresholds[failAll] {
		s.idle = now.Sub(since)
	}
}

// strongest returns the hypothesis whose evidence is the highest share of its
// threshold, that share, and the time at which it began to rise.
func (s *target) strongest() (Reason, float64, time.Time) {
	reason, share, since := ReasonStall, s.stall/s.thresholds[failAll], s.stallLow
	for h := range s.tests {
		if part := s.tests[h].value / s.thresholds[h]; part > share {
			reason, share, since = hypothesis(h).reason(), part, s.tests[h].lowAt
		}
	}
	return reason, share, since
}

// restart drops what was seen of an earlier incarnation. The state and the
// strikes stay, because a server that restarts in a loop is flapping.
func (s *target) restart() {
	s.running = s.running[:0]
	s.window = window{}
	s.typical = 1
	s.clearTests(s.progress)
}

// clearTests drops the evidence of latency and outcome.
func (s *target) clearTests(now time.Time) {
	for h := range s.tests {
		s.tests[h] = cusum{lowAt: now}
	}
}

func (s *target) summarise(now time.Time, scratch []float64) {
	if now.Before(s.summaryAt) {
		return
	}
	s.summaryAt = now.Add(summaryInterval)
	s.observed = s.window.fast(s.observed, s.idle, scratch)
	s.learnTypical()
	if !now.Before(s.spreadAt) {
		s.spreadAt = now.Add(spreadInterval)
		s.observed = s.window.slow(s.observed, scratch)
	}
}

// noticedAt returns when noticeAfter requests had finished after a time; the present if they
// have not.
func (s *target) noticedAt(since, now time.Time) time.Time {
	needed := 0
	for i := 1; i <= s.window.count && s.window.back(i).at > since.UnixNano(); i++ {
		needed++
	}
	if needed <= noticeAfter {
		return now
	}
	return time.Unix(0, s.window.back(needed-noticeAfter).at)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
