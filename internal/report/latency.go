package report

import (
	"math"
	"slices"
	"time"
)

// Latency is a summary of durations in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Summarise returns the quantiles of the durations by nearest rank. It sorts
// its argument.
func Summarise(durations []time.Duration) Latency {
	slices.Sort(durations)
	return Latency{
		Count: len(durations),
		P50:   quantile(durations, 0.5),
		P99:   quantile(durations, 0.99),
		P999:  quantile(durations, 0.999),
		Max:   quantile(durations, 1),
	}
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(len(sorted))))
	return milliseconds(sorted[max(rank, 1)-1])
}
