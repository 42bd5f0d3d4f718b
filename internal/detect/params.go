package detect

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/eject"
)

// Names of the detection presets of a service.
const (
	PresetTrust  = "trust"
	PresetParamo = "paramo"
)

// Costs weigh the two errors of a detector against each other.
type Costs struct {
	// LateDetection is the cost of one more request sent to a server that fails all
	// of its work.
	LateDetection float64
	// FalseEjection is the cost of ejecting a healthy server once, in the same unit.
	FalseEjection float64
}

// minThreshold and maxThreshold bound the evidence, in nats, that a verdict
// needs. One failure weighs up to 5.3 nats and must never be enough; the
// maximum keeps a mistyped cost from switching detection off.
const (
	minThreshold = 7.0
	maxThreshold = 30.0
)

// PresetCosts returns the costs of a preset; an unknown name gives those of
// PresetParamo, the more cautious one. A ratio of 2e5 makes three failures in
// a row enough, but not two; 5e8 is 25 times the requests of a million server-seconds at
// 20 requests/s, so that none of these should bring a false verdict.
func PresetCosts(preset string) Costs {
	if preset == PresetTrust {
		return Costs{LateDetection: 1, FalseEjection: 2e5}
	}
	return Costs{LateDetection: 1, FalseEjection: 5e8}
}

// Threshold returns the evidence in nats at which a fault that loses the given
// share of the work is declared. A CUSUM with threshold ln(n) raises a false
// alarm at most about once in n observations of a healthy server, and each
// observation of delay costs the lost share of Late, so the ratio of the two
// costs is the n that balances them.
func (c Costs) Threshold(lostShare float64) float64 {
	if c.LateDetection <= 0 || c.FalseEjection <= 0 || lostShare <= 0 {
		return maxThreshold
	}
	return min(max(math.Log(c.FalseEjection/(c.LateDetection*lostShare)), minThreshold), maxThreshold)
}

// Params are the settings of a Detector that do not differ between services.
type Params struct {
	// PauseAllowance is the longest time without any finished request that
	// is not a fault, beyond the usual p95 latency. Default 230ms: a pause of 200 ms, and
	// the start of the first request after it.
	PauseAllowance time.Duration
	// StallScale is the time without progress, beyond the allowance, that
	// counts as one nat of evidence. Default 7ms.
	StallScale time.Duration
	// UseLatency enables evidence from the latency of finished requests. Paths
	// leave it off: the latency of a server says nothing about the path.
	UseLatency bool
	// SummaryDelay is the time in which a change of a summary reaches every node.
	// Evidence from latency that lasted so long, after peers with the same
	// load would have noticed a change of the whole service, is a verdict
	// without a direct look at them. Default eject.SettleTime.
	SummaryDelay time.Duration
	// Settle is the time during which a verdict may still be withdrawn,
	// because work continues until the ejection takes effect. Default
	// eject.SettleTime.
	Settle time.Duration
	// Hold is the time a first ejection lasts. Default 10s.
	Hold time.Duration
	// MaxHold bounds the hold time of a flapping target. Default 5m.
	MaxHold time.Duration
	// HoldDecay is the time in state healthy after which a doubling of the
	// hold time is taken back. Default 10m.
	HoldDecay time.Duration
	// ProbationSuccesses is the number of real successes that end probation.
	// Default 20.
	ProbationSuccesses int
	// SuspectClearTime is the time for which evidence must stay low before a
	// suspect target is healthy again. Default 1s.
	SuspectClearTime time.Duration
}

// ServerParams are the parameters for backend servers.
func ServerParams() Params {
	return Params{
		PauseAllowance:     230 * time.Millisecond,
		StallScale:         7 * time.Millisecond,
		UseLatency:         true,
		SummaryDelay:       eject.SettleTime,
		Settle:             eject.SettleTime,
		Hold:               10 * time.Second,
		MaxHold:            5 * time.Minute,
		HoldDecay:          10 * time.Minute,
		ProbationSuccesses: 20,
		SuspectClearTime:   time.Second,
	}
}

// PathParams are the parameters for paths from an entry to host nodes. The
// allowance is longer than a host needs to suspect a stalled server, so that a
// stalled server is not mistaken for a broken path, and the verdict takes
// effect at once because it concerns this node alone.
func PathParams() Params {
	p := ServerParams()
	p.PauseAllowance = 800 * time.Millisecond
	p.UseLatency = false
	p.Settle = 0
	p.Hold = 5 * time.Second
	p.MaxHold = time.Minute
	p.ProbationSuccesses = 5
	return p
}
