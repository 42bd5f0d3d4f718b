package loadgen

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/report"
)

// keySource says who chooses the idempotency key of a request.
type keySource int

const (
	noKey keySource = iota
	callerKey
	nodeKey
)

// plannedRequest is one request before it is sent.
type plannedRequest struct {
	// at is the planned time of the request, from the start of the run.
	at        time.Duration
	token     string
	target    *Target
	kind      report.Kind
	keySource keySource
	account   string
	// entry is the index of the entry address of the first attempt.
	entry int
}

// schedule generates the requests of a run. The same mix and seed give the same requests at the same
// times.
type schedule struct {
	mix         *Mix
	runID       string
	entries     int
	rng         *rand.Rand
	at          time.Duration
	count       int
	totalWeight float64
}

// seedStream keeps the random numbers of the schedule independent of other generators that use the
// same seed.
const seedStream = 0x6c6f6164

func newSchedule(mix *Mix, runID string, entries int) *schedule {
	s := &schedule{mix: mix, runID: runID, entries: entries, rng: rand.New(rand.NewPCG(mix.Seed, seedStream))}
	for i := range mix.Targets {
		s.totalWeight += mix.Targets[i].Weight
	}
	return s
}

// next returns the next request, or false once the duration of the mix is over.
func (s *schedule) next() (plannedRequest, bool) {
	s.at += time.Duration(s.rng.ExpFloat64() / s.mix.Rate * float64(time.Second))
	if s.at >= s.mix.Duration {
		return plannedRequest{}, false
	}
	s.count++
	p := plannedRequest{
		at:     s.at,
		token:  fmt.Sprintf("%s-%d", s.runID, s.count),
		target: s.pickTarget(),
		kind:   report.Read,
		entry:  s.rng.IntN(s.entries),
	}
	if len(s.mix.Accounts) > 0 {
		p.account = s.mix.Accounts[s.rng.IntN(len(s.mix.Accounts))]
	}
	if s.rng.Float64() < p.target.Writes {
		p.kind = report.Write
		p.keySource = s.pickKeySource(p.target)
	}
	return p, true
}

func (s *schedule) pickTarget() *Target {
	left := s.rng.Float64() * s.totalWeight
	for i := range s.mix.Targets {
		target := &s.mix.Targets[i]
		if left < target.Weight {
			return target
		}
		left -= target.Weight
	}
	return &s.mix.Targets[len(s.mix.Targets)-1]
}

func (s *schedule) pickKeySource(target *Target) keySource {
	switch {
	case s.rng.Float64() >= target.Keyed:
		return noKey
	case s.rng.Float64() < target.NodeKeys:
		return nodeKey
	}
	return callerKey
}
