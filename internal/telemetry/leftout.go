package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// lineLimiter limits the rate of log lines of each kind and counts those that it
// suppresses. A kind is a message and its level.
type lineLimiter struct {
	mu     sync.Mutex
	counts map[string]int
}

// limit returns a core that writes at most perSecond lines a second of each kind.
// Failed requests are logged at a different level from successful ones, so a burst
// of successful requests does not suppress the lines of failures.
func (l *lineLimiter) limit(core zapcore.Core, perSecond int) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0, zapcore.SamplerHook(l.count))
}

func (l *lineLimiter) count(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[entry.Level.String()+" "+entry.Message]++
}

// take returns the counts since the previous call and resets them.
func (l *lineLimiter) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = map[string]int{}
	return counts
}

// LogSuppressedLines logs the number of lines suppressed since the previous call, by
// kind, if there are any.
func (t *Telemetry) LogSuppressedLines() {
	if counts := t.limiter.take(); len(counts) > 0 {
		t.Log.Warn("log lines left out", zap.Any("counts", counts))
	}
}
