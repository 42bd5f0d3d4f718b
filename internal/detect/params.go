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

// Costs weighs the two errors of a detector against each other.
type Costs struct {
	// LateDetection is the cost of each further request sent to a server that fails all of its
	// work.
	LateDetection float64
	// FalseEjection is the cost of one ejection of a healthy server, in the same unit.
	FalseEjection float64
}

// minThreshold and maxThreshold bound the evidence, in nats, that a verdict needs. One failure
// weighs up to 5.3 nats and must never be enough on its own; the maximum keeps a mistyped cost
// from disabling detection.
const (
	minThreshold = 7.0
	maxThreshold = 30.0
)

// PresetCosts returns the costs of a preset. An unknown name gives the costs of PresetParamo,
// the more cautious preset. With a cost ratio of 2e5, three failures in a row are enough but two
// are not. With a ratio of 5e8, a false verdict is expected at most about once in 5e8 requests.
// That is 25 times the requests of a million server-seconds at 20 requests/s, so none is expected
// in that time.
func PresetCosts(preset string) Costs {
	if preset == PresetTrust {
		return Costs{LateDetection: 1, FalseEjection: 2e5}
	}
	return Costs{LateDetection: 1, FalseEjection: 5e8}
}

// Threshold returns the evidence, in nats, at which a fault that loses the given share of the
// work is declared. A CUSUM test with threshold ln(n) raises a false alarm at most about once in
// n observations of a healthy server, and each observation of delay costs the lost share of
// LateDetection. The ratio of the two costs is the n that balances them.
func (c Costs) Threshold(lostShare float64) float64 {
	if c.LateDetection <= 0 || c.FalseEjection <= 0 || lostShare <= 0 {
		return maxThreshold
	}
	return min(max(math.Log(c.FalseEjection/(c.LateDetection*lostShare)), minThreshold), maxThreshold)
}

// Params holds the settings of a Detector that do not differ between services.
type Params struct {
	// PauseAllowance is the longest time without any finished request, beyond the usual p95
	// latency, that is not treated as a fault. Default 230ms: a pause of 200 ms, and the start
	// of the first request after it.
	PauseAllowance time.Duration
	// StallScale is the time without progress, beyond PauseAllowance, that counts as one nat of
	// evidence. Default 7ms.
	StallScale time.Duration
	// UseLatency enables evidence from the latency of finished requests. It is off for paths,
	// because the latency of a server says nothing about the path to it.
	UseLatency bool
	// SummaryDelay is the time in which a changed summary reaches every node. If the whole
	// service slowed down, peers with the same load would notice it too, and their summaries
	// would show it SummaryDelay later. From then on, evidence from latency leads to a verdict
	// even without recent samples of the peers. Default eject.SettleTime.
	SummaryDelay time.Duration
	// Settle is the time during which a verdict may still be withdrawn, because the target
	// receives work until the ejection takes effect. Default eject.SettleTime.
	Settle time.Duration
	// Hold is the hold time of a first ejection. Default 10s.
	Hold time.Duration
	// MaxHold is the longest hold time of a flapping target. Default 5m.
	MaxHold time.Duration
	// HoldDecay is the time in state healthy after which one doubling of the hold time is
	// undone. Default 10m.
	HoldDecay time.Duration
	// ProbationSuccesses is the number of successful real requests that end probation.
	// Default 20.
	ProbationSuccesses int
	// SuspectClearTime is how long the evidence must stay low before a suspect target is healthy
	// again. Default 1s.
	SuspectClearTime time.Duration
}

// ServerParams returns the parameters for backend servers.
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

// PathParams returns the parameters for paths from an entry to host nodes. The pause allowance
// is longer than a host needs to suspect a stalled server, so that a stalled server is not
// mistaken for a broken path. A verdict takes effect at once because it concerns this node
// alone.
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
