package platform

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
)

// Memory is a Store and ObjectStore in memory. The stand-in serves it, and
// tests use it directly.
type Memory struct {
	mu      sync.Mutex
	tables  map[string]map[string]Row
	objects map[string]Object
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{tables: map[string]map[string]Row{}, objects: map[string]Object{}}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, table, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.tables[table][key]
	if !ok || row.Value == nil {
		return Row{Key: key}, ErrNotFound
	}
	return row, nil
}

// Scan implements Store.
func (m *Memory) Scan(_ context.Context, table, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, row := range m.tables[table] {
		if strings.HasPrefix(key, prefix) && key > after && row.Value != nil {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Transact implements Store.
func (m *Memory) Transact(_ context.Context, table string, checks []Check, writes []Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := m.tables[table]
	for _, check := range checks {
		if currentVersion(rows[check.Key]) != check.Version {
			return ErrConflict
		}
	}
	if rows == nil {
		rows = map[string]Row{}
		m.tables[table] = rows
	}
	for _, write := range writes {
		rows[write.Key] = Row{
			Key:     write.Key,
			Version: rows[write.Key].Version + 1,
			Value:   append(json.RawMessage(nil), write.Value...),
		}
	}
	return nil
}

// currentVersion returns the version that checks are compared with. A deleted row
// counts as absent but keeps its version, so that a row never has the same version
// twice.
func currentVersion(row Row) uint64 {
	if row.Value == nil {
		return 0
	}
	return row.Version
}

// GetObject implements ObjectStore.
func (m *Memory) GetObject(_ context.Context, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[name]
	if !ok {
		return Object{Name: name}, ErrNotFound
	}
	return object, nil
}

// PutObject implements ObjectStore.
func (m *Memory) PutObject(_ context.Context, name string, data []byte, ifVersion uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[name]
	if current.Version != ifVersion {
		return 0, ErrConflict
	}
	next := Object{Name: name, Version: current.Version + 1, Data: append([]byte(nil), data...)}
	m.objects[name] = next
	return next.Version, nil
}
