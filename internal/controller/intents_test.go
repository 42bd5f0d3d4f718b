package controller_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// slowStore blocks each scan until release is closed.
type slowStore struct {
	platform.Store
	called  chan struct{}
	release chan struct{}
}

func (s *slowStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	select {
	case s.called <- struct{}{}:
	default:
	}
	select {
	case <-s.release:
	case <-ctx.Done():
		return nil, errors.Join(platform.ErrUnavailable, ctx.Err())
	}
	return s.Store.Scan(ctx, table, prefix, after, limit)
}

// TestIntentsDriveWithoutBlocking guards against a control goroutine that waits for the
// platform, and against a draft that never expires.
func TestIntentsDriveWithoutBlocking(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	memory := platform.NewMemory()
	store := &slowStore{Store: memory, called: make(chan struct{}, 1), release: make(chan struct{})}
	start := time.Now().Add(-2 * intent.StepTimeout)
	past := intentstore.New(memory, intentstore.Options{Now: func() time.Time { return start }})
	floor := 3
	operator := intent.Actor{ID: "op", Role: fleet.RoleOperator}
	_, err := past.Create(ctx, operator, "old", intent.Spec{Kind: intent.Floor, Service: "a", FloorSlots: &floor})
	g.Expect(err).NotTo(HaveOccurred())

	board := blackboard.New(fleet.NodeRecord{ID: "n1"})
	steps := make(chan intent.Action, 10)
	engine := intentstore.New(store, intentstore.Options{})
	intents := controller.NewIntents(ctx, engine, board.View, controller.IntentsOptions{
		OnStep: func(action intent.Action) { steps <- action },
		Random: func() float64 { return 0 },
	})
	now := time.Now()
	step := func() {
		now = now.Add(10 * time.Second)
		stepOnce(g, board, intents, now)
	}
	step()
	g.Eventually(func() bool {
		step()
		select {
		case <-store.called:
			return true
		default:
			return false
		}
	}).Should(BeTrue())
	for range 100 {
		step() // would hang here if the step waited for the scan
	}
	close(store.release)
	g.Eventually(steps).Should(Receive(Equal(intent.ActionExpire)))
	row, err := memory.Get(ctx, fleet.Table, fleet.PrefixIntent+"old")
	g.Expect(err).NotTo(HaveOccurred())
	var in intent.Intent
	g.Expect(json.Unmarshal(row.Value, &in)).To(Succeed())
	g.Expect(in.State).To(Equal(intent.Expired))
}

// stepOnce runs one step on the control goroutine of a board.
func stepOnce(g *WithT, board *blackboard.Board, c blackboard.Controller, now time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		board.Run(ctx)
	}()
	g.Expect(board.Call(ctx, func(e *blackboard.Entries) { c.Step(now, e) })).To(Succeed())
	cancel()
	<-ended
}
