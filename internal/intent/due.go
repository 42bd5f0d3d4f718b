package intent

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// DueStops returns the IDs of the intents whose withdrawal must be held, resumed or
// ended according to the view. It reads no rows, so every node can call it often;
// a node that takes the step reads the rows and decides again. The beginning of a
// window and the end of a withdrawal without a window are not urgent: nodes find
// them when they scan the open intents.
func DueStops(view *fleet.View, now time.Time) []string {
	if len(view.Config.Withdrawals) == 0 {
		return nil
	}
	input := Input{Now: now, View: view, Rows: configRows(view.Config)}
	var ids []string
	for _, withdrawal := range view.Config.Withdrawals {
		if action, _ := NextStep(intentFromWithdrawal(withdrawal, now), input); action != "" {
			ids = append(ids, withdrawal.Intent)
		}
	}
	sort.Strings(ids)
	return ids
}

// intentFromWithdrawal returns an approved, held or in-force intent that matches the
// withdrawal. The view does not have the version of its change, so the change
// counts as not yet in force at every node.
func intentFromWithdrawal(w fleet.Withdrawal, now time.Time) Intent {
	in := Intent{ID: w.ID, ChangeVersion: math.MaxUint64}
	in.Spec = Spec{Kind: Withdraw, Scope: w.Scope, Target: w.Target, NotBefore: w.NotBefore, NotAfter: w.NotAfter}
	if !w.NotAfter.IsZero() {
		in.Spec.Kind = Maintenance
	}
	in.State = in.StateAt(now)
	if w.Held {
		in.State = Held
	}
	return in
}

// configRows returns the services and withdrawals of a configuration as rows. Their
// versions are placeholders, not the versions in the table.
func configRows(config *fleet.Config) Rows {
	rows := Rows{}
	add := func(write RowWrite, err error) {
		if err == nil {
			rows[write.Key] = StoredRow{Version: 1, Value: write.Value}
		}
	}
	for name, service := range config.Services {
		add(encodeRow(fleet.PrefixService+name, service))
	}
	for id, withdrawal := range config.Withdrawals {
		add(encodeRow(fleet.PrefixWithdrawal+id, withdrawal))
	}
	return rows
}
