package telemetry

import (
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Counter is a monotonic counter. The zero value is ready to use.
type Counter struct {
	value atomic.Int64
}

// Inc adds one.
func (c *Counter) Inc() { c.value.Add(1) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Value returns the current count.
func (c *Counter) Value() int64 { return c.value.Load() }

// Gauge holds the current value of a quantity. The zero value is ready to use.
type Gauge struct {
	value atomic.Int64
}

// Set replaces the value.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Add changes the value by n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the current value.
func (g *Gauge) Value() int64 { return g.value.Load() }

// maxLabelSets bounds the number of label sets of one CounterVec, so that a faulty
// caller cannot grow the metrics output without limit.
const maxLabelSets = 512

// CounterVec is a family of counters, one for each key. Looking up an existing key
// takes no lock and does not allocate.
type CounterVec[K comparable] struct {
	counters atomic.Pointer[map[K]*labelledCounter]
	mu       sync.Mutex
	labels   func(K) attribute.Set
	overflow labelledCounter
}

type labelledCounter struct {
	Counter
	labels metric.ObserveOption
	name   string
}

func newCounterVec[K comparable](labels func(K) attribute.Set, known ...K) *CounterVec[K] {
	v := &CounterVec[K]{labels: labels}
	v.overflow.labels = metric.WithAttributeSet(attribute.NewSet(attribute.Bool("overflow", true)))
	v.overflow.name = "overflow"
	counters := make(map[K]*labelledCounter, len(known))
	for _, key := range known {
		counters[key] = newLabelledCounter(labels(key))
	}
	v.counters.Store(&counters)
	return v
}

func newLabelledCounter(labels attribute.Set) *labelledCounter {
	return &labelledCounter{labels: metric.WithAttributeSet(labels), name: labels.Encoded(attribute.DefaultEncoder())}
}

// With returns the counter of key; callers may retain it. Keys beyond the 512th
// share one counter with the label overflow="true".
func (v *CounterVec[K]) With(key K) *Counter {
	if found, ok := (*v.counters.Load())[key]; ok {
		return &found.Counter
	}
	return v.create(key)
}

// Inc adds one to the counter of key.
func (v *CounterVec[K]) Inc(key K) { v.With(key).Inc() }

// Total returns the sum over all keys.
func (v *CounterVec[K]) Total() int64 {
	total := v.overflow.Value()
	for _, found := range *v.counters.Load() {
		total += found.Value()
	}
	return total
}

func (v *CounterVec[K]) create(key K) *Counter {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := *v.counters.Load()
	if found, ok := old[key]; ok {
		return &found.Counter
	}
	if len(old) >= maxLabelSets {
		return &v.overflow.Counter
	}
	counters := make(map[K]*labelledCounter, len(old)+1)
	for k, c := range old {
		counters[k] = c
	}
	added := newLabelledCounter(v.labels(key))
	counters[key] = added
	v.counters.Store(&counters)
	return &added.Counter
}

// each calls visit for every counter that is not zero.
func (v *CounterVec[K]) each(visit func(*labelledCounter)) {
	for _, found := range *v.counters.Load() {
		if found.Value() != 0 {
			visit(found)
		}
	}
	if v.overflow.Value() != 0 {
		visit(&v.overflow)
	}
}
