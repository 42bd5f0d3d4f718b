package blackboard

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// accountRows returns rows of client accounts at the given version.
func accountRows(count int, version uint64) []fleet.Row {
	rows := make([]fleet.Row, count)
	for i := range rows {
		id := fmt.Sprintf("account-%05d", i)
		value, _ := json.Marshal(fleet.Account{ID: id, Weight: 1})
		rows[i] = fleet.Row{Key: fleet.PrefixAccount + id, Version: version, Value: value}
	}
	return rows
}

func routeRows(count int, version uint64) []fleet.Row {
	rows := make([]fleet.Row, count)
	for i := range rows {
		route := fleet.Route{ID: fmt.Sprintf("route-%04d", i), Prefix: fmt.Sprintf("/p%d/", i), Service: serviceName(i % 270)}
		value, _ := json.Marshal(route)
		rows[i] = fleet.Row{Key: fleet.PrefixRoute + route.ID, Version: version, Value: value}
	}
	return rows
}

// BenchmarkSnapshotConfigured measures a snapshot after one changed node record at 5,300 servers,
// by the number of accounts in the configuration.
func BenchmarkSnapshotConfigured(b *testing.B) {
	for _, accounts := range []int{480, 4_800, 48_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			e := benchEntries(5300)
			e.ApplyConfig(2, append(accountRows(accounts, 2), routeRows(accounts/9, 2)...))
			now := time.Unix(1000, 0)
			e.snapshot(now)
			b.ReportAllocs()
			for b.Loop() {
				e.UpdateSelf(func(r *fleet.NodeRecord) bool {
					r.Servers[0].Observed.Median++
					return true
				})
				e.snapshot(now)
			}
		})
	}
}

// BenchmarkSnapshotAllChanged measures the storing of a new record of every other node and the
// snapshot after it, with eleven servers on each node.
func BenchmarkSnapshotAllChanged(b *testing.B) {
	for _, servers := range []int{21, 500, 5300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			e := benchEntries(servers)
			now := time.Unix(1000, 0)
			e.snapshot(now)
			sequence := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				for _, known := range e.nodes {
					if known.ID == e.self.ID {
						continue
					}
					record := known.Clone()
					record.Version.Sequence = sequence
					e.PutNode(record)
				}
				e.snapshot(now)
			}
		})
	}
}

// BenchmarkSnapshotOneServerNodes measures a snapshot after one changed record with one server on
// each node, as when every instance runs its own node.
func BenchmarkSnapshotOneServerNodes(b *testing.B) {
	for _, nodes := range []int{21, 500, 5300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			e := oneServerEntries(nodes)
			now := time.Unix(1000, 0)
			e.snapshot(now)
			b.ReportAllocs()
			for b.Loop() {
				e.UpdateSelf(func(r *fleet.NodeRecord) bool {
					r.Servers[0].Observed.Median++
					return true
				})
				e.snapshot(now)
			}
		})
	}
}

func oneServerEntries(nodes int) *Entries {
	services := max(nodes/20, 1)
	server := func(i int) []fleet.ServerRecord {
		return []fleet.ServerRecord{{ID: fmt.Sprintf("s%04d", i), Service: serviceName(i % services), Slots: 6, Health: fleet.Healthy}}
	}
	e := newEntries(fleet.NodeRecord{ID: "n0000", Servers: server(0)})
	for i := 1; i < nodes; i++ {
		e.PutNode(&fleet.NodeRecord{ID: fmt.Sprintf("n%04d", i), Version: fleet.Version{Sequence: 1}, Servers: server(i)})
	}
	return e
}

// BenchmarkApplyConfigRow measures the application of one changed account at 5,300 servers and
// the snapshot after it, by the number of accounts.
func BenchmarkApplyConfigRow(b *testing.B) {
	for _, accounts := range []int{480, 4_800, 48_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			e := benchEntries(5300)
			e.ApplyConfig(2, append(accountRows(accounts, 2), routeRows(accounts/9, 2)...))
			now := time.Unix(1000, 0)
			e.snapshot(now)
			version := uint64(2)
			b.ReportAllocs()
			for b.Loop() {
				version++
				e.ApplyConfig(version, accountRows(1, version))
				e.snapshot(now)
			}
		})
	}
}

// BenchmarkViewMemory reports the heap memory of the entries and the view for each server.
func BenchmarkViewMemory(b *testing.B) {
	for _, servers := range []int{500, 2500, 5300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			benchHeap(b, servers, func() any {
				e := benchEntries(servers)
				view, _ := e.snapshot(time.Unix(1000, 0))
				return []any{e, view}
			})
		})
	}
}

// BenchmarkConfigMemory reports the heap memory of the rows and the decoded configuration for
// each row.
func BenchmarkConfigMemory(b *testing.B) {
	for _, accounts := range []int{480, 4_800, 48_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			benchHeap(b, accounts+accounts/9, func() any {
				e := newEntries(fleet.NodeRecord{ID: "n000"})
				e.ApplyConfig(2, append(accountRows(accounts, 2), routeRows(accounts/9, 2)...))
				view, _ := e.snapshot(time.Unix(1000, 0))
				return []any{e, view}
			})
		})
	}
}

// benchHeap reports the heap memory that the result of build retains, divided by records.
func benchHeap(b *testing.B, records int, build func() any) {
	var retained any
	before := heapInUse()
	for b.Loop() {
		retained = build()
	}
	b.ReportMetric((heapInUse()-before)/float64(records), "heap-B/record")
	runtime.KeepAlive(retained)
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
