package intent

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// DueStops returns the IDs of the intents whose withdrawal needs a hold, a
// resume or an end, judged by the view alone. It reads no row, so every node
// can call it often; a node then reads the rows and decides again. The
// beginning of a window and the end of a withdrawal without a window are not
// urgent and are found among the open intents.
func DueStops(view *fleet.View, now time.Time) []string {
	if len(view.Config.Withdrawals) == 0 {
		return nil
	}
	input := Input{Now: now, View: view, Rows: configRows(view.Config)}
	var ids []string
	for _, withdrawal := range view.Config.Withdrawals {
		if action, _ := NextStep(intentOf(withdrawal, now), input); action != "" {
			ids = append(ids, withdrawal.Intent)
		}
	}
	sort.Strings(ids)
	return ids
}

// intentOf returns an intent in force, scheduled or held that has the
// withdrawal. Its change counts as not yet spread, because the view does not
// tell the version at which it was made.
func intentOf(w fleet.Withdrawal, now time.Time) Intent {
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

// configRows returns the services and withdrawals of a configuration as rows.
// The versions are not those of the table.
func configRows(config *fleet.Config) Rows {
	rows := Rows{}
	add := func(write RowWrite, err error) {
		if err == nil {
			rows[write.Key] = StoredRow{Version: 1, Value: write.Value}
		}
	}
	for name, service := range config.Services {
		add(encode(fleet.PrefixService+name, service))
	}
	for id, withdrawal := range config.Withdrawals {
		add(encode(fleet.PrefixWithdrawal+id, withdrawal))
	}
	return rows
}
