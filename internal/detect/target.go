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
	// blockLength is the unit in which evidence from latency is bounded. All
	// requests that one pause delayed end together; without the bound they
	// would count as independent evidence.
	blockLength = 200 * time.Millisecond
	// maxBlockGain lets a pause of up to 200 ms, which falls into two blocks
	// at most, add 8 nats, below the lowest threshold of a preset.
	maxBlockGain = 4.0
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
	summaryInterval = 500 * time.Millisecond
)

// cusum is the running test of one hypothesis.
type cusum struct {
	value float64
	// lowAt is the last time at which the value was below a third of the
	// threshold; what made it cross began after that.
	lowAt time.Time
	// block and blockStart bound the gain from latency.
	block      int64
	blockStart float64
}

func (c *cusum) add(gain, threshold float64, at time.Time) {
	c.value = min(max(c.value+gain, 0), threshold+capAbove)
	if c.value < threshold/3 {
		c.lowAt = at
	}
}

func (c *cusum) addBounded(gain, threshold float64, at time.Time) {
	block := at.UnixNano() / int64(blockLength)
	if block != c.block {
		c.block, c.blockStart = block, c.value
	}
	if gain > 0 {
		gain = min(gain, max(c.blockStart+maxBlockGain-c.value, 0))
	}
	c.add(gain, threshold, at)
}

// request is one running request.
type request struct {
	started time.Time
	// counted is the evidence already added for its age, by hypothesis.
	counted [2]float64
}

// target is the state of one judged target.
type target struct {
	Target
	thresholds [hypotheses]float64
	baseline   Baseline
	model      *latencyModel
	failGain   [2][hypotheses]float64

	tests    [hypotheses]cusum
	running  map[uint64]request
	progress time.Time
	stall    float64
	stallLow time.Time
	window   window
	observed fleet.Observed
	// summaryAt is the time of the next summary.
	summaryAt time.Time

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
	s := &target{running: map[uint64]request{}, health: fleet.Healthy}
	s.describe(t)
	return s
}

func (s *target) describe(t Target) {
	s.Target = t
	for h := range s.thresholds {
		s.thresholds[h] = t.Costs.Threshold(lostShare[h])
	}
}

func (s *target) setBaseline(b Baseline, model *latencyModel) {
	if b == s.baseline {
		return
	}
	s.baseline, s.model = b, model
	for h := failAll; h < slowAll; h++ {
		s.failGain[0][h] = failureGain(h, false, b.Failures)
		s.failGain[1][h] = failureGain(h, true, b.Failures)
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
	index := gridIndex(latency, s.baseline.Median)
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

// ageRunning counts the ages of running requests and returns how many are
// older than usual and since when nothing has made progress.
func (s *target) ageRunning(now, resumed time.Time, p *Params) {
	usual := s.baseline.p95()
	if s.cold(now) {
		usual = time.Duration(float64(usual) * coldFactor)
	}
	latency := p.Latency && s.baseline.Known && !s.cold(now)
	var oldest time.Time
	stuck := 0
	for id, r := range s.running {
		if now.Sub(r.started) > maxAge {
			delete(s.running, id)
			continue
		}
		start := latest(r.started, resumed)
		age := now.Sub(start)
		if oldest.IsZero() || start.Before(oldest) {
			oldest = start
		}
		if age > usual {
			stuck++
		}
		if latency && age > usual {
			s.addLatency(&r, age, true, now)
			s.running[id] = r
		}
	}
	s.setStall(now, oldest, stuck, usual, p)
}

// setStall rates the time for which requests ran and none finished.
func (s *target) setStall(now, oldest time.Time, stuck int, usual time.Duration, p *Params) {
	s.stall = 0
	since := latest(oldest, s.progress)
	if stuck > 0 {
		excess := now.Sub(since) - usual - p.PauseAllowance
		s.stall = min(max(float64(excess)/float64(p.StallScale), 0), maxStuckGain*float64(stuck))
		s.stall = min(s.stall, s.thresholds[failAll]+capAbove)
	}
	if s.stall == 0 {
		s.stallLow = since
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
	clear(s.running)
	s.window = window{}
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
	ages := make([]float64, 0, 8)
	for _, r := range s.running {
		ages = append(ages, now.Sub(r.started).Seconds())
	}
	s.observed = s.window.summary(s.observed, ages, scratch)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
