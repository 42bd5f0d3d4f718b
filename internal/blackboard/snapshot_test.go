package blackboard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// benchEntries returns entries with about eleven servers on each node and about twenty in each
// service, as at the design size.
func benchEntries(servers int) *Entries {
	e := newEntries(fleet.NodeRecord{ID: "n000", Servers: benchServers(0, servers)})
	services := max(servers/20, 1)
	var rows []fleet.Row
	for i := range services {
		value, _ := json.Marshal(fleet.Service{Name: serviceName(i), FloorSlots: 60})
		rows = append(rows, fleet.Row{Key: fleet.PrefixService + serviceName(i), Version: 1, Value: value})
	}
	e.ApplyConfig(1, rows)
	for node := 1; node*11 < servers; node++ {
		e.PutNode(&fleet.NodeRecord{ID: fmt.Sprintf("n%03d", node), Version: fleet.Version{Sequence: 1}, Servers: benchServers(node, servers)})
	}
	return e
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func benchServers(node, servers int) []fleet.ServerRecord {
	services := max(servers/20, 1)
	var out []fleet.ServerRecord
	for i := node * 11; i < min(node*11+11, servers); i++ {
		out = append(out, fleet.ServerRecord{ID: fmt.Sprintf("s%04d", i), Service: serviceName(i % services), Slots: 6, Health: fleet.Healthy})
	}
	return out
}

// BenchmarkSnapshotOneChange measures a snapshot after a change of one node's record.
func BenchmarkSnapshotOneChange(b *testing.B) {
	benchSnapshot(b, func(e *Entries) {
		e.UpdateSelf(func(r *fleet.NodeRecord) bool {
			r.Servers[0].Observed.Median++
			return true
		})
	})
}

// BenchmarkSnapshotAll measures a snapshot after a change that affects every service.
func BenchmarkSnapshotAll(b *testing.B) {
	benchSnapshot(b, func(e *Entries) { e.markAllDirty() })
}

func benchSnapshot(b *testing.B, change func(*Entries)) {
	for _, servers := range []int{21, 500, 5300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			e := benchEntries(servers)
			now := time.Unix(1000, 0)
			e.snapshot(now)
			b.ReportAllocs()
			for b.Loop() {
				change(e)
				e.snapshot(now)
			}
		})
	}
}

// TestEjectionTakesEffectWhenItSettles guards against a requested ejection that settles while
// nothing else changes, and therefore never takes effect.
func TestEjectionTakesEffectWhenItSettles(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEntries(fleet.NodeRecord{ID: "n", Servers: []fleet.ServerRecord{
		{ID: "a", Service: "s", Slots: 6, Health: fleet.Ejected, EjectionRequestedAt: now},
		{ID: "b", Service: "s", Slots: 6, Health: fleet.Healthy},
	}})
	view, _ := e.snapshot(now)
	if candidate, _ := view.Find("s", "a"); candidate.Standing != fleet.Reduced {
		t.Fatalf("standing %s before settling, want %s", candidate.Standing, fleet.Reduced)
	}
	if _, changed := e.snapshot(now.Add(eject.SettleTime - time.Millisecond)); changed {
		t.Fatal("a snapshot was published before the ejection settled")
	}
	view, changed := e.snapshot(now.Add(eject.SettleTime))
	if !changed {
		t.Fatal("no snapshot was published when the ejection settled")
	}
	if candidate, _ := view.Find("s", "a"); candidate.Standing != fleet.SetAside {
		t.Fatalf("standing %s after settling, want %s", candidate.Standing, fleet.SetAside)
	}
	if len(e.InvariantViolations) != 0 {
		t.Fatalf("invariants violated: %v", e.InvariantViolations)
	}
}
