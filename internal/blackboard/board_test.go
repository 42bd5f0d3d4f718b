package blackboard_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// closedGate is a controller that keeps a readiness gate closed.
type closedGate struct{ steps chan struct{} }

func (c closedGate) Name() string { return "closed" }

func (c closedGate) Step(_ time.Time, e *blackboard.Entries) {
	e.SetGate("closed", false)
	select {
	case c.steps <- struct{}{}:
	default:
	}
}

// TestNotReadyBeforeFirstStep guards against a node that accepts requests before its controllers
// have closed their readiness gates.
func TestNotReadyBeforeFirstStep(t *testing.T) {
	board := blackboard.New(fleet.NodeRecord{ID: "n"})
	gate := closedGate{steps: make(chan struct{}, 2)}
	board.Add(gate)
	if board.View().Ready {
		t.Fatal("the first view is ready")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go board.Run(ctx)
	<-gate.steps
	<-gate.steps
	if board.View().Ready {
		t.Fatal("the node is ready with a closed gate")
	}
}

// TestConfigurationNeverReverts guards against a configuration version that decreases and
// against an older row that replaces a newer one, in any order of arrival.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board := blackboard.New(fleet.NodeRecord{ID: "n"})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go board.Run(ctx)
		var highest, newestRow uint64
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			version := rapid.Uint64Range(0, 10).Draw(t, "version")
			row := rapid.Uint64Range(1, 10).Draw(t, "row version")
			err := board.Call(ctx, func(e *blackboard.Entries) {
				e.ApplyConfig(version, []fleet.Row{{Key: "service/s", Version: row, Value: []byte(`{"name":"s"}`)}})
				highest, newestRow = max(highest, version), max(newestRow, row)
				known, _ := e.Row("service/s")
				if e.Config().Version != highest || known.Version != newestRow {
					t.Errorf("configuration version %d and row version %d are in force, want %d and %d",
						e.Config().Version, known.Version, highest, newestRow)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestStaleRecordOfSelfIsSuperseded guards against a restarted node whose clock is behind that of
// its earlier incarnation: peers would keep the record of the earlier incarnation.
func TestStaleRecordOfSelfIsSuperseded(t *testing.T) {
	board := blackboard.New(fleet.NodeRecord{ID: "n", Version: fleet.Version{Incarnation: 5, Sequence: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go board.Run(ctx)
	old := fleet.Version{Incarnation: 9, Sequence: 40}
	err := board.Call(ctx, func(e *blackboard.Entries) {
		e.PutNode(&fleet.NodeRecord{ID: "n", Version: old})
		if !e.Self().Version.Newer(old) {
			t.Errorf("own version %+v is not newer than %+v", e.Self().Version, old)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
