package telemetry

import (
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Counter is a number that only rises. Its zero value is ready for use.
type Counter struct {
	value atomic.Int64
}

// Inc adds one.
func (c *Counter) Inc() { c.value.Add(1) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Value returns the current count.
func (c *Counter) Value() int64 { return c.value.Load() }

// Gauge is a number that is set to the latest reading. Its zero value is ready
// for use.
type Gauge struct {
	value atomic.Int64
}

// Set replaces the reading.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Add changes the reading by n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the reading.
func (g *Gauge) Value() int64 { return g.value.Load() }

// maxCells bounds the label values of one Vec, so that a faulty caller cannot
// grow the metrics page without limit.
const maxCells = 512

// Vec is a family of counters, one for each key. A look-up of a known key
// takes no lock and allocates nothing.
type Vec[K comparable] struct {
	cells    atomic.Pointer[map[K]*cell]
	mu       sync.Mutex
	labels   func(K) attribute.Set
	overflow cell
}

type cell struct {
	Counter
	labels metric.ObserveOption
	name   string
}

func newVec[K comparable](labels func(K) attribute.Set, known ...K) *Vec[K] {
	v := &Vec[K]{labels: labels}
	v.overflow.labels = metric.WithAttributeSet(attribute.NewSet(attribute.Bool("overflow", true)))
	v.overflow.name = "overflow"
	cells := make(map[K]*cell, len(known))
	for _, key := range known {
		cells[key] = newCell(labels(key))
	}
	v.cells.Store(&cells)
	return v
}

func newCell(labels attribute.Set) *cell {
	return &cell{labels: metric.WithAttributeSet(labels), name: labels.Encoded(attribute.DefaultEncoder())}
}

// With returns the counter of key. It may be kept. Keys beyond the 512th share
// one counter with the label overflow="true".
func (v *Vec[K]) With(key K) *Counter {
	if found, ok := (*v.cells.Load())[key]; ok {
		return &found.Counter
	}
	return v.create(key)
}

// Inc adds one to the counter of key.
func (v *Vec[K]) Inc(key K) { v.With(key).Inc() }

// Total returns the sum over all keys.
func (v *Vec[K]) Total() int64 {
	total := v.overflow.Value()
	for _, found := range *v.cells.Load() {
		total += found.Value()
	}
	return total
}

func (v *Vec[K]) create(key K) *Counter {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := *v.cells.Load()
	if found, ok := old[key]; ok {
		return &found.Counter
	}
	if len(old) >= maxCells {
		return &v.overflow.Counter
	}
	cells := make(map[K]*cell, len(old)+1)
	for k, c := range old {
		cells[k] = c
	}
	added := newCell(v.labels(key))
	cells[key] = added
	v.cells.Store(&cells)
	return &added.Counter
}

// each calls visit for every counter that is not zero.
func (v *Vec[K]) each(visit func(*cell)) {
	for _, found := range *v.cells.Load() {
		if found.Value() != 0 {
			visit(found)
		}
	}
	if v.overflow.Value() != 0 {
		visit(&v.overflow)
	}
}
