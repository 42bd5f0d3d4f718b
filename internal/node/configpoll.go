package node

import (
	"context"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// pollConfig reads every configuration row once a second.
func (n *Node) pollConfig(ctx context.Context) {
	n.board.Post(func(e *blackboard.Entries) { e.SetGate("configuration", false) })
	for ctx.Err() == nil {
		var rows []fleet.Row
		complete := true
		for _, prefix := range []string{fleet.PrefixService, fleet.PrefixRoute, fleet.PrefixAccount, fleet.PrefixWithdrawal} {
			found, err := n.store.Scan(ctx, fleet.Table, prefix, "", 1000)
			complete = complete && err == nil
			for _, row := range found {
				rows = append(rows, fleet.Row{Key: row.Key, Version: row.Version, Value: row.Value})
			}
		}
		if complete {
			n.board.Post(func(e *blackboard.Entries) {
				e.ApplyConfig(1, rows)
				e.SetGate("configuration", true)
			})
		}
		time.Sleep(time.Second)
	}
}
