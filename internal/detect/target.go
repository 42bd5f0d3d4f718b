package detect

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Target describes a backend server or a path that a Detector judges.
type Target struct {
	// ID is the value of Event.Target for the target.
	ID string
	// Service is the service of a server; empty for a path.
	Service string
	// Costs set the thresholds of the tests.
	Costs Costs
	// Incarnation changes when the target restarts.
	Incarnation uint64
	// WarmUntil is the end of a cold start.
	WarmUntil time.Time
}

const (
	// blockLength and maxBlockLLR bound the evidence from latency per unit of time. All requests
	// delayed by the same pause end together and would otherwise count as independent evidence.
	// A pause of 200 ms falls into one block, which starts with the first delayed request.
	blockLength = 250 * time.Millisecond
	maxBlockLLR = 6.0
	// maxReplayed is the number of finished requests whose latency is scored again when the
	// baseline changes.
	maxReplayed = 64
	// coldLatencyFactor is how much slower than its warm peers a cold server may be before it
	// counts as stalled.
	coldLatencyFactor = 4.0
	// maxAboveThreshold bounds the evidence above the threshold, so that it falls soon after the
	// cause ends.
	maxAboveThreshold = 4.0
	// maxRunning bounds the running requests kept for a target. It is several times the number
	// of connections that a server accepts.
	maxRunning = 2048
	// maxRequestAge is the age after which a running request is dropped: the longest deadline is
	// 30 s, so its end event was lost.
	maxRequestAge = 2 * time.Minute
	// maxStallPerRequest bounds the evidence of a stall per waiting request.
	maxStallPerRequest = 4.0
	// summaryInterval is the time between two updates of the published summary.
	summaryInterval = 200 * time.Millisecond
	// spreadInterval is the time between two updates of the spread, each of which sorts the
	// whole window.
	spreadInterval = 2 * time.Second
)

// cusum is the CUSUM test of one hypothesis.
type cusum struct {
	value float64
	// lastLow is the last time at which the value was below a third of the threshold. The fault
	// that made the value cross the threshold began after it.
	lastLow time.Time
	// blockStart is the start of the current block, and blockStartValue the value at that time.
	blockStart      time.Time
	blockStartValue float64
}

func (c *cusum) add(llr, threshold float64, at time.Time) {
	c.value = min(max(c.value+llr, 0), threshold+maxAboveThreshold)
	if c.value < threshold/3 {
		c.lastLow = at
	}
}

func (c *cusum) addBounded(llr, threshold float64, at time.Time) {
	if llr > 0 {
		if at.Sub(c.blockStart) >= blockLength {
			c.blockStart, c.blockStartValue = at, c.value
		}
		llr = min(llr, max(c.blockStartValue+maxBlockLLR-c.value, 0))
	}
	c.add(llr, threshold, at)
}

// request is one running request.
type request struct {
	id      uint64
	started time.Time
	// countedLLR is the evidence already added for the request's age, for slowAll and slowSome.
	countedLLR [2]float64
}

// targetState is the state of one judged target.
type targetState struct {
	Target
	thresholds       [hypothesisCount]float64
	baseline         Baseline
	referenceLatency time.Duration
	// riseBase is the median from which a rise of the baseline is measured, and baselineRoseAt
	// the time of the last rise.
	riseBase       time.Duration
	baselineRoseAt time.Time
	// peerRatio is the usual ratio of the target's latency to that of its peers while the target
	// is healthy.
	peerRatio  float64
	model      *latencyModel
	outcomeLLR [2][hypothesisCount]float64

	tests [hypothesisCount]cusum
	// running is a slice rather than a map, so that evidence is added in a fixed order; a server
	// has few running requests.
	running       []request
	lastProgress  time.Time
	stallEvidence float64
	// stalledFor is the time without progress of a target that seems stalled.
	stalledFor time.Duration
	stallOnset time.Time
	window     window
	summary    fleet.Observed
	// nextSummary is the time of the next update of the summary.
	nextSummary time.Time
	nextSpread  time.Time

	health       fleet.Health
	since        time.Time
	clearedSince time.Time
	successes    int
	// backoffLevel doubles the hold time; backoffChangedAt is when it last changed.
	backoffLevel     int
	backoffChangedAt time.Time
	hold             time.Duration
}

func newTargetState(t Target) *targetState {
	s := &targetState{health: fleet.Healthy, peerRatio: 1}
	s.configure(t)
	return s
}

func (s *targetState) configure(t Target) {
	s.Target = t
	for h := range s.thresholds {
		s.thresholds[h] = t.Costs.Threshold(lostShare[h])
	}
}

func (s *targetState) setBaseline(b Baseline, model *latencyModel, now time.Time) {
	s.noteBaselineRise(b, now)
	changed := b.Median != s.baseline.Median || b.Sigma != s.baseline.Sigma
	s.baseline, s.model = b, model
	if changed {
		s.updateReferenceLatency()
		s.rescoreLatencies()
	}
	for h := failAll; h < slowAll; h++ {
		s.outcomeLLR[0][h] = failureLLR(h, false, b.FailureRate)
		s.outcomeLLR[1][h] = failureLLR(h, true, b.FailureRate)
	}
}

// updateReferenceLatency recomputes the latency that requests are compared with.
func (s *targetState) updateReferenceLatency() {
	s.referenceLatency = time.Duration(float64(s.baseline.Median) * latencyTolerance * max(s.peerRatio, 1))
}

// updatePeerRatio tracks the lasting difference between a healthy target and its peers. Servers
// of a service differ by tens of percent, and a fault changes the ratio little within the time
// it takes to detect it.
func (s *targetState) updatePeerRatio() {
	if !s.baseline.Known || s.summary.Median == 0 || s.health != fleet.Healthy || s.clearedSince.IsZero() {
		return
	}
	ratio := float64(medianValue(float64(s.summary.Median))) / float64(s.baseline.Median)
	weight := summaryInterval.Seconds() / peerRatioTime.Seconds()
	s.peerRatio += weight * (min(max(ratio, 1), maxPeerRatio) - s.peerRatio)
	s.updateReferenceLatency()
}

// noteBaselineRise records the time at which the baseline rises by baselineRiseFactor or more.
func (s *targetState) noteBaselineRise(b Baseline, now time.Time) {
	if s.baseline.Known && b.Known && float64(b.Median) >= baselineRiseFactor*float64(s.riseBase) {
		s.baselineRoseAt, s.riseBase = now, b.Median
	}
	if !s.baseline.Known || b.Median < s.riseBase {
		s.riseBase = b.Median
	}
}

// rescoreLatencies scores the latest latencies by the new baseline. Evidence gathered under the
// old baseline would otherwise remain: when a whole service slows down, every server would be
// ejected for its earlier latencies just when its peers begin to show the same ones.
func (s *targetState) rescoreLatencies() {
	for h := slowAll; h < hypothesisCount; h++ {
		s.tests[h] = cusum{lastLow: s.tests[h].lastLow}
	}
	for i := range s.running {
		s.running[i].countedLLR = [2]float64{}
	}
	for i := min(maxReplayed, s.window.count); i >= 1; i-- {
		if old := s.window.nthLatest(i); !old.noLatencyEvidence {
			s.addLatency(&request{}, old.latency, false, time.Unix(0, old.at))
		}
	}
}

func (s *targetState) cold(now time.Time) bool { return now.Before(s.WarmUntil) }

// addOutcome adds the evidence of a finished request's outcome.
func (s *targetState) addOutcome(failed bool, at time.Time) {
	row := &s.outcomeLLR[0]
	if failed {
		row = &s.outcomeLLR[1]
	}
	for h := failAll; h < slowAll; h++ {
		s.tests[h].add(row[h], s.thresholds[h], at)
	}
}

// addLatency adds the evidence of a latency, less what was already counted for the age of the
// same request. A censored latency is a lower bound.
func (s *targetState) addLatency(r *request, latency time.Duration, censored bool, at time.Time) {
	index := gridIndex(latency, s.referenceLatency)
	for k := range r.countedLLR {
		llr := s.model.exactLLR[k][index]
		if censored {
			llr = max(s.model.censoredLLR[k][index], 0)
		}
		h := slowAll + hypothesis(k)
		s.tests[h].addBounded(llr-r.countedLLR[k], s.thresholds[h], at)
		r.countedLLR[k] = llr
	}
}

// takeRunning removes a running request and returns it.
func (s *targetState) takeRunning(id uint64) (request, bool) {
	for i := range s.running {
		if s.running[i].id == id {
			r := s.running[i]
			s.removeRunning(i)
			return r, true
		}
	}
	return request{}, false
}

func (s *targetState) removeRunning(i int) {
	last := len(s.running) - 1
	s.running[i] = s.running[last]
	s.running = s.running[:last]
}

// expireRunning drops running requests whose end event must have been lost.
func (s *targetState) expireRunning(now time.Time) {
	for i := len(s.running) - 1; i >= 0; i-- {
		if now.Sub(s.running[i].started) > maxRequestAge {
			s.removeRunning(i)
		}
	}
}

// scoreRunning adds evidence from the ages of running requests and updates the evidence of a
// stall.
func (s *targetState) scoreRunning(now, resumed time.Time, p *Params) {
	p95 := s.baseline.p95()
	if s.cold(now) {
		p95 = time.Duration(float64(p95) * coldLatencyFactor)
	}
	latency := p.UseLatency && s.baseline.Known && !s.cold(now)
	var oldest time.Time
	overdue := 0
	s.expireRunning(now)
	for i := range s.running {
		r := &s.running[i]
		start := laterTime(r.started, resumed)
		age := now.Sub(start)
		if oldest.IsZero() || start.Before(oldest) {
			oldest = start
		}
		if age > p95 {
			overdue++
		}
		if latency && age > p95 {
			s.addLatency(r, age, true, now)
		}
	}
	s.updateStall(now, oldest, overdue, p95, p)
}

// updateStall scores the time for which requests were running and none finished.
func (s *targetState) updateStall(now, oldest time.Time, overdue int, p95 time.Duration, p *Params) {
	s.stallEvidence, s.stalledFor = 0, 0
	since := laterTime(oldest, s.lastProgress)
	if overdue > 0 {
		excess := now.Sub(since) - p95 - p.PauseAllowance
		s.stallEvidence = min(max(float64(excess)/float64(p.StallScale), 0), maxStallPerRequest*float64(overdue))
		s.stallEvidence = min(s.stallEvidence, s.thresholds[failAll]+maxAboveThreshold)
	}
	if s.stallEvidence == 0 {
		s.stallOnset = since
	}
	if s.stallEvidence >= suspectShare*s.thresholds[failAll] {
		s.stalledFor = now.Sub(since)
	}
}

// strongestEvidence returns the reason of the hypothesis whose evidence is the highest share of
// its threshold, that share, and the time at which the evidence began to rise.
func (s *targetState) strongestEvidence() (Reason, float64, time.Time) {
	reason, share, onset := ReasonStall, s.stallEvidence/s.thresholds[failAll], s.stallOnset
	for h := range s.tests {
		if candidate := s.tests[h].value / s.thresholds[h]; candidate > share {
			reason, share, onset = hypothesis(h).reason(), candidate, s.tests[h].lastLow
		}
	}
	return reason, share, onset
}

// resetIncarnation drops the observations of an earlier incarnation. The state and the backoff
// level are kept, because a server that restarts in a loop is flapping.
func (s *targetState) resetIncarnation() {
	s.running = s.running[:0]
	s.window = window{}
	s.peerRatio = 1
	s.resetTests(s.lastProgress)
}

// resetTests drops the evidence from latencies and outcomes.
func (s *targetState) resetTests(now time.Time) {
	for h := range s.tests {
		s.tests[h] = cusum{lastLow: now}
	}
}

func (s *targetState) updateSummary(now time.Time, buffer []float64) {
	if now.Before(s.nextSummary) {
		return
	}
	s.nextSummary = now.Add(summaryInterval)
	s.summary = s.window.updateFast(s.summary, s.stalledFor, buffer)
	s.updatePeerRatio()
	if !now.Before(s.nextSpread) {
		s.nextSpread = now.Add(spreadInterval)
		s.summary = s.window.updateSlow(s.summary, buffer)
	}
}

// noticeTime returns when noticeSamples requests had finished after since, or now if they have
// not yet.
func (s *targetState) noticeTime(since, now time.Time) time.Time {
	finished := 0
	for i := 1; i <= s.window.count && s.window.nthLatest(i).at > since.UnixNano(); i++ {
		finished++
	}
	if finished <= noticeSamples {
		return now
	}
	return time.Unix(0, s.window.nthLatest(finished-noticeSamples).at)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
