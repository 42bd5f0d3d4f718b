package intentstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// countingStore counts the calls and the rows written.
type countingStore struct {
	*platform.Memory
	reads, transactions, rows int
}

func (s *countingStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	s.reads++
	return s.Memory.Get(ctx, table, key)
}

func (s *countingStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	s.reads++
	return s.Memory.Scan(ctx, table, prefix, after, limit)
}

func (s *countingStore) Transact(ctx context.Context, table string, checks []platform.Check, writes []platform.Write) error {
	s.transactions++
	s.rows += len(writes)
	return s.Memory.Transact(ctx, table, checks, writes)
}

// benchFleet returns a store and a view with the given number of services, each
// with one server in the data centre dc.
func benchFleet(b *testing.B, services int) (*countingStore, intentstore.Snapshot) {
	store := &countingStore{Memory: platform.NewMemory()}
	view := &fleet.View{Config: fleet.EmptyConfig(), Nodes: map[string]*fleet.NodeRecord{}, Services: map[string]*fleet.ServiceView{}}
	host := &fleet.NodeRecord{ID: "n", DataCentre: "dc"}
	var writes []platform.Write
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		value, err := json.Marshal(fleet.Service{Name: name, Preset: fleet.PresetTrust})
		if err != nil {
			b.Fatal(err)
		}
		writes = append(writes, platform.Write{Key: fleet.PrefixService + name, Value: value})
		server := &fleet.ServerRecord{ID: name, Service: name, Slots: 6, Health: fleet.Healthy}
		view.Services[name] = &fleet.ServiceView{Candidates: []fleet.Candidate{{Server: server, Host: host, Warmth: 1}}}
	}
	if err := store.Memory.Transact(context.Background(), fleet.Table, nil, writes); err != nil {
		b.Fatal(err)
	}
	return store, intentstore.Snapshot{View: view}
}

// BenchmarkAcceptedChange reports the platform calls of one withdrawal, from
// draft to done, by the number of services that it affects.
func BenchmarkAcceptedChange(b *testing.B) {
	for _, services := range []int{1, 10, 100, 270} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			store, snapshot := benchFleet(b, services)
			now := time.Unix(1_800_000_000, 0)
			engine := intentstore.New(store, intentstore.Options{Now: func() time.Time { return now }})
			takeSnapshot := func() intentstore.Snapshot { return snapshot }
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("i%d", i)
				must(b)(engine.Create(ctx, operators[0], id, intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeDataCentre, Target: "dc"}))
				in := must(b)(engine.Plan(ctx, operators[0], id, takeSnapshot))
				must(b)(engine.Confirm(ctx, operators[0], id, in.Plan.Number, takeSnapshot))
				must(b)(engine.Approve(ctx, approvers[0], id, in.Plan.Number, takeSnapshot))
				now = now.Add(time.Minute)
				if _, action, err := engine.Drive(ctx, "n", id, takeSnapshot); err != nil || action != intent.ActionFinish {
					b.Fatal(action, err)
				}
				// Delete the withdrawal, so that the table does not grow with b.N.
				if err := store.Memory.Transact(ctx, fleet.Table, nil, []platform.Write{{Key: fleet.PrefixWithdrawal + id}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(store.transactions)/float64(b.N), "transactions/change")
			b.ReportMetric(float64(store.rows)/float64(b.N), "rows/change")
			b.ReportMetric(float64(store.reads)/float64(b.N), "reads/change")
		})
	}
}

func must(b *testing.B) func(intent.Intent, error) intent.Intent {
	return func(in intent.Intent, err error) intent.Intent {
		if err != nil {
			b.Fatal(err)
		}
		return in
	}
}

// BenchmarkIdleDrive reports the platform calls of one check of every open intent
// that finds nothing due, by the number of open intents.
func BenchmarkIdleDrive(b *testing.B) {
	for _, open := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			store, snapshot := benchFleet(b, 1)
			engine := intentstore.New(store, intentstore.Options{})
			takeSnapshot := func() intentstore.Snapshot { return snapshot }
			for i := range open {
				must(b)(engine.Create(ctx, operators[0], fmt.Sprintf("i%d", i), intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeServer, Target: "s0"}))
			}
			store.reads, store.transactions = 0, 0
			for b.Loop() {
				ids, err := engine.ListOpen(ctx)
				if err != nil {
					b.Fatal(err)
				}
				for _, id := range ids {
					if _, _, err := engine.Drive(ctx, "n", id, takeSnapshot); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(store.reads)/float64(b.N), "reads/round")
			b.ReportMetric(float64(store.transactions)/float64(b.N), "transactions/round")
		})
	}
}
