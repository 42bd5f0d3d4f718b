package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gossip"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// idleGossip and freshConfig are sources that never report a change.
type idleGossip struct{}

func (idleGossip) SetSelf(*fleet.NodeRecord)       {}
func (idleGossip) Collect(time.Time) gossip.Update { return gossip.Update{} }
func (idleGossip) ExchangedSince(time.Time) bool   { return true }

type freshConfig struct{}

func (freshConfig) Fresh() bool { return true }
func (freshConfig) Refresh()    {}

// benchNode returns the record of a node with eleven servers, in services of about twenty
// servers each.
func benchNode(node, servers int) fleet.NodeRecord {
	record := fleet.NodeRecord{ID: fmt.Sprintf("n%04d", node), Version: fleet.Version{Sequence: 1}}
	services := max(servers/20, 1)
	for i := node * 11; i < min(node*11+11, servers); i++ {
		record.Servers = append(record.Servers, fleet.ServerRecord{
			ID: fmt.Sprintf("s%04d", i), Service: fmt.Sprintf("service-%03d", i%services), Slots: 6,
			Health: fleet.Healthy, Observed: fleet.Observed{Median: 37, Spread: 5},
		})
	}
	return record
}

// BenchmarkTickAll measures one tick of the controllers for membership, configuration,
// detection, ejection and intents, by the number of servers in the fleet. The node has eleven
// servers, each with two requests since the last tick. Announcements and metrics are not
// included.
func BenchmarkTickAll(b *testing.B) {
	for _, servers := range []int{21, 500, 5300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			board := blackboard.New(benchNode(0, servers))
			go board.Run(ctx)
			detection := controller.NewDetection(controller.DetectionOptions{})
			engine := intentstore.New(platform.NewMemory(), intentstore.Options{})
			controllers := []blackboard.Controller{
				controller.NewMembership(idleGossip{}), controller.NewConfiguration(freshConfig{}, time.Hour), detection,
				controller.NewEjection(nil), controller.NewIntents(ctx, engine, board.View, controller.IntentsOptions{}),
			}
			benchCall(b, board, func(e *blackboard.Entries) {
				for node := 1; node*11 < servers; node++ {
					record := benchNode(node, servers)
					e.PutNode(&record)
				}
			})
			now, request := time.Unix(1000, 0), uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(blackboard.TickInterval)
				request = emitRequests(detection, now, request)
				benchCall(b, board, func(e *blackboard.Entries) {
					e.TickGap = blackboard.TickInterval
					for _, c := range controllers {
						c.Step(now, e)
					}
				})
			}
		})
	}
}

func benchCall(b *testing.B, board *blackboard.Board, f func(*blackboard.Entries)) {
	if err := board.Call(context.Background(), f); err != nil {
		b.Fatal(err)
	}
}

// emitRequests emits the start and the end of two requests for each of the node's servers.
func emitRequests(d *controller.Detection, now time.Time, request uint64) uint64 {
	for i := range 22 {
		request++
		event := detect.Event{Target: fmt.Sprintf("s%04d", i%11), Service: "service-000", Request: request, At: now}
		d.Emit(event)
		event.Finished, event.Latency, event.At = true, 37*time.Millisecond, now.Add(37*time.Millisecond)
		d.Emit(event)
	}
	return request
}
