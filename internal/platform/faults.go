package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// FaultSettings configures the faults that the stand-in injects.
type FaultSettings struct {
	// DelayMS is the delay added to each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Down makes each call fail with status 503 before it takes effect.
	Down bool `json:"down"`
	// DropAnswers is the share, from 0 to 1, of writes whose connection is
	// closed without a response after the write took effect.
	DropAnswers float64 `json:"drop_answers"`
	// Seed seeds the random sequence that selects the dropped responses.
	Seed uint64 `json:"seed"`
}

// Faults holds the active faults. It is safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
	random   *rand.Rand
}

// NewFaults returns Faults with no active fault.
func NewFaults() *Faults {
	f := &Faults{}
	f.Set(FaultSettings{})
	return f
}

// Set replaces the active faults and restarts the random sequence.
func (f *Faults) Set(settings FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
	f.random = rand.New(rand.NewPCG(settings.Seed, 0))
}

// Settings returns the active faults.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// dropAnswer reports whether to drop the response to the current write.
func (f *Faults) dropAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.DropAnswers > 0 && f.random.Float64() < f.settings.DropAnswers
}

// wait delays a call and reports whether ctx is still active.
func (f *Faults) wait(ctx context.Context) bool {
	delay := time.Duration(f.Settings().DelayMS) * time.Millisecond
	if delay <= 0 {
		return ctx.Err() == nil
	}
	return sleep(ctx, delay)
}
