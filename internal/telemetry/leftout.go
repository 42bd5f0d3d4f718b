package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// leftOut counts the log lines beyond the bound of their kind.
type leftOut struct {
	mu     sync.Mutex
	counts map[string]int
}

// bound returns a core that writes at most perSecond lines a second of each kind,
// which is a message and its level. Lines of failures have a level of their own,
// so that many good requests leave them out of nothing.
func (l *leftOut) bound(core zapcore.Core, perSecond int) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0, zapcore.SamplerHook(l.count))
}

func (l *leftOut) count(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[entry.Level.String()+" "+entry.Message]++
}

// take returns the counts since the last call.
func (l *leftOut) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = map[string]int{}
	return counts
}

// LogSuppressedLines writes a line that counts the lines left out since the last call,
// by kind, if there are any.
func (t *Telemetry) LogSuppressedLines() {
	if counts := t.leftOut.take(); len(counts) > 0 {
		t.Log.Warn("log lines left out", zap.Any("counts", counts))
	}
}
