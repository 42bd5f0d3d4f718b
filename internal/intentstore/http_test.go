package intentstore_test

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// TestConcurrentOperatorsOverHTTP guards against lost and duplicate steps when
// four operators, each with a client of its own, work concurrently and the
// platform drops the responses to 30% of the writes.
func TestConcurrentOperatorsOverHTTP(t *testing.T) {
	const workers, changes = 4, 6
	g, m := NewWithT(t), newFleetModel(t)
	faults := platform.NewFaults()
	faults.Set(platform.FaultSettings{DropAnswers: 0.3, Seed: 1})
	server := httptest.NewServer(platform.NewHandler(m.memory, m.memory, faults))
	t.Cleanup(server.Close)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			client := platform.NewClient(server.URL, platform.ClientOptions{
				Backoff: time.Millisecond, OpenInterval: time.Millisecond, FailureThreshold: 50,
			})
			engine := intentstore.New(client, intentstore.Options{Now: func() time.Time { return m.now }})
			for change := range changes {
				id := fmt.Sprintf("w%d-%d", worker, change)
				spec := intent.Spec{Kind: intent.Account, Account: &fleet.Account{ID: id}}
				g.Expect(approveIntent(engine, m.snapshot, id, spec)).To(Succeed())
			}
		})
	}
	group.Wait()
	m.check(t)
	g.Expect(m.counter(t)).To(BeEquivalentTo(1 + workers*changes))
	g.Expect(m.rows(fleet.PrefixAccount)).To(HaveLen(1 + workers*changes))
}

// approveIntent creates, plans, confirms and approves an intent. As the API asks
// of its callers, it repeats a step whose outcome is unknown or that always met
// a conflict.
func approveIntent(engine *intentstore.Engine, takeSnapshot func() intentstore.Snapshot, id string, spec intent.Spec) error {
	var in intent.Intent
	steps := []func() (intent.Intent, error){
		func() (intent.Intent, error) { return engine.Create(ctx, operators[0], id, spec) },
		func() (intent.Intent, error) { return engine.Plan(ctx, operators[0], id, takeSnapshot) },
		func() (intent.Intent, error) {
			return engine.Confirm(ctx, operators[1], id, in.Plan.Number, takeSnapshot)
		},
		func() (intent.Intent, error) {
			return engine.Approve(ctx, approvers[0], id, in.Plan.Number, takeSnapshot)
		},
	}
	for _, step := range steps {
		var err error
		for range 20 {
			var next intent.Intent
			if next, err = step(); err == nil {
				in = next
				break
			}
			if number := codes.FromError(err).Code.Number; number != codes.StoreBusy.Number && number != codes.StoreOutcomeUnknown.Number {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}
