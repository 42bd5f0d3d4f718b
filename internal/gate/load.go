package gate

import (
	"time"
)

// PriorityLevels is the number of ranks: calls, the combinations of these priorities, and all others.
const (
	rankedPriorities = 3
	PriorityLevels   = 1 + rankedPriorities*rankedPriorities + 1
)

// ExpectedWait returns the expected time until a request of the rank gets a slot and the rate limit
// admits it. unreported is the number of requests on their way that the load, which has the given
// age, does not include yet.
func (l Load) ExpectedWait(rank, unreported int, age time.Duration) time.Duration {
	ahead := l.Ahead(rank) + unreported
	wait := l.RateWait(ahead, age)
	if excess := l.Running + ahead + 1 - l.Slots; excess > 0 {
		wait = max(wait, min(l.slotWait(excess, rank), l.floorWait(rank)))
	}
	return wait
}

// floorWait returns the time after which the floor of its flow pays for a request, if the requests
// of each rank are one flow.
func (l Load) floorWait(rank int) time.Duration {
	flows, ahead := 1, 0
	for other, waiting := range l.Waiting {
		switch {
		case other == min(rank, PriorityLevels-1):
			ahead = waiting
		case waiting > 0:
			flows++
		}
	}
	service := max(l.Service, l.WorkService)
	return time.Duration(float64((ahead+1)*flows) * float64(service) / (floorShare * float64(max(l.Slots, 1))))
}

// slotWait returns the expected time until a number of runs have ended. A request that is no call
// waits for others of its sort, and for the calls that arrive meanwhile.
func (l Load) slotWait(runs, rank int) time.Duration {
	wait := float64(runs) / float64(max(l.Slots, 1))
	if rank == 0 || l.CallPercent == 0 {
		return time.Duration(wait * float64(l.Service))
	}
	return time.Duration(wait * float64(l.WorkService) / (1 - min(float64(l.CallPercent)/100, maxCallShare)))
}

// Ahead returns the number of waiting requests that come before another one of the rank.
func (l Load) Ahead(rank int) int {
	ahead := 0
	for level := 0; level <= min(rank, PriorityLevels-1); level++ {
		ahead += l.Waiting[level]
	}
	return ahead
}

// WaitingRanks returns the number of ranks up to the last one of which requests wait.
func (l Load) WaitingRanks() int {
	ranks := len(l.Waiting)
	for ranks > 0 && l.Waiting[ranks-1] == 0 {
		ranks--
	}
	return ranks
}

// QueueLength returns the number of waiting requests.
func (l Load) QueueLength() int { return l.Ahead(PriorityLevels - 1) }

// RateLimited reports whether the server limits the rate of requests.
func (l Load) RateLimited() bool { return l.RateInterval > 0 }

// RateWait returns the time until the rate limit admits a request with a number of others ahead of
// it, for a load of the given age.
func (l Load) RateWait(ahead int, age time.Duration) time.Duration {
	return max(rateWait(ahead, l.RateTokens, l.RateInterval)-age, 0)
}

// Load describes the server for the nodes that choose between servers.
type Load struct {
	Running, Slots int
	// Waiting counts the waiting requests by rank; the last one includes all less urgent ones.
	Waiting [PriorityLevels]int
	// FailureProbability is the probability that the server is in a failure episode.
	FailureProbability float64
	// Service is the mean service time.
	Service time.Duration
	// Open is set while the server accepts requests.
	Open bool
	// Cold is set while the server is slow after its start.
	Cold bool
	// TrialIn is the time until an unhealthy server accepts one idempotent request as a trial;
	// trialInFlight while a trial runs.
	TrialIn time.Duration
	// CallPercent is the share of the time of the server, in percent, that calls of running work take.
	CallPercent int
	// WorkService is the mean service time of requests that are no calls; 0 without calls.
	WorkService time.Duration
	// RetriesLeft is the number of retries that the retry budget still allows.
	RetriesLeft int
	// RateInterval is the mean time between two requests at the rate that the server accepts; 0
	// without a limit. RateTokens is the number of requests that may be sent at once, and the part
	// of the interval that has passed towards the next one.
	RateInterval time.Duration
	RateTokens   float64
	// SinceLastUse is the time since the last run began or the last result was evidence of the server's
	// health, whichever is shorter. A run that has begun will have a result.
	SinceLastUse time.Duration
	// StopsIn is the time until the node beside the server stops; 0 if it does not. Until then the
	// node accepts requests that must have ended by then.
	StopsIn time.Duration
}

// trialInFlight is the Load.TrialIn of a server with a running trial.
const trialInFlight = time.Second

// Healthy reports whether the server accepts non-idempotent requests.
func (l Load) Healthy() bool { return l.FailureProbability < UnhealthyThreshold }

// Load returns the load and health of the server.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(now)
}

func (g *Gate) load(now time.Time) Load {
	var waiting [PriorityLevels]int
	for _, ticket := range g.waiting {
		waiting[ticket.request.rank()]++
	}
	load := Load{
		Running:            g.running,
		Waiting:            waiting,
		Slots:              g.slots,
		FailureProbability: g.health.At(now),
		Service:            g.serviceTime,
		Open:               g.open,
		Cold:               now.Before(g.warmUntil),
		TrialIn:            g.untilTrial(now),
		RetriesLeft:        g.retries.remaining(now),
		SinceLastUse:       max(min(now.Sub(g.health.updatedAt), now.Sub(g.lastStart)), 0),
	}
	if g.rate.bucket != nil {
		load.RateInterval, load.RateTokens = g.rate.interval(), g.rate.bucket.TokensAt(now)
	}
	return g.callLoad(now, load)
}

// callLoad adds what calls take of the server to a load.
func (g *Gate) callLoad(now time.Time, load Load) Load {
	load.CallPercent = min(int(100*g.calls.at(now)/float64(max(g.slots, 1))), 100)
	if load.CallPercent > 0 {
		load.WorkService = g.workTime
	}
	return load
}

func (g *Gate) untilTrial(now time.Time) time.Duration {
	if g.trialRunning {
		return trialInFlight
	}
	return max(g.nextTrial.Sub(now), 0)
}
