package fleet_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// newConfig returns a configuration with the given number of client accounts, one
// route for every 9 accounts, and 270 services.
func newConfig(accounts int) *fleet.Config {
	var rows []fleet.Row
	for i := range 270 {
		rows = append(rows, configRow(fleet.PrefixService, fmt.Sprintf("service-%03d", i), fleet.Service{FloorSlots: 60}))
	}
	for i := range accounts {
		rows = append(rows, configRow(fleet.PrefixAccount, fmt.Sprintf("account-%05d", i), fleet.Account{Weight: 1}))
	}
	for i := range accounts / 9 {
		rows = append(rows, configRow(fleet.PrefixRoute, fmt.Sprintf("route-%04d", i), fleet.Route{Prefix: fmt.Sprintf("/p%d/", i), Service: "service-000"}))
	}
	config, _ := fleet.EmptyConfig().Apply(1, rows)
	return config
}

func configRow(prefix, id string, value any) fleet.Row {
	data, _ := json.Marshal(value)
	return fleet.Row{Key: prefix + id, Version: 1, Value: data}
}

// changedRowOfKind holds one changed row of each kind of configuration row.
var changedRowOfKind = map[string]fleet.Row{
	"service":    configRow(fleet.PrefixService, "service-000", fleet.Service{FloorSlots: 61}),
	"route":      configRow(fleet.PrefixRoute, "route-0000", fleet.Route{Prefix: "/q/", Service: "service-001"}),
	"account":    configRow(fleet.PrefixAccount, "account-00000", fleet.Account{Weight: 2}),
	"withdrawal": configRow(fleet.PrefixWithdrawal, "w", fleet.Withdrawal{Target: "s"}),
}

// BenchmarkApply measures applying one changed row of each kind, by the number of
// accounts.
func BenchmarkApply(b *testing.B) {
	for _, kind := range []string{"service", "route", "account", "withdrawal"} {
		for _, accounts := range []int{480, 4_800, 48_000} {
			b.Run(fmt.Sprintf("%s/%d", kind, accounts), func(b *testing.B) {
				config := newConfig(accounts)
				rows := []fleet.Row{changedRowOfKind[kind]}
				b.ReportAllocs()
				for b.Loop() {
					config.Apply(2, rows)
				}
			})
		}
	}
}

// TestApplyDoesNotModifyPublishedConfig guards against modifying in place a map
// that traffic goroutines read, for changed and deleted rows of each kind.
func TestApplyDoesNotModifyPublishedConfig(t *testing.T) {
	for kind, changed := range changedRowOfKind {
		for _, row := range []fleet.Row{changed, {Key: changed.Key, Version: 2}} {
			config, _ := newConfig(18).Apply(1, []fleet.Row{configRow(fleet.PrefixWithdrawal, "w", fleet.Withdrawal{Target: "old"})})
			before := *config
			before.Services, before.Routes = maps.Clone(config.Services), maps.Clone(config.Routes)
			before.Accounts, before.Withdrawals = maps.Clone(config.Accounts), maps.Clone(config.Withdrawals)
			next, unreadable := config.Apply(2, []fleet.Row{row})
			if len(unreadable) > 0 {
				t.Fatalf("%s: unreadable rows %v", kind, unreadable)
			}
			if !sameRows(config, &before) {
				t.Errorf("%s: Apply modified the published configuration in place", kind)
			}
			if sameRows(config, next) {
				t.Errorf("%s: Apply did not apply the row to the new configuration", kind)
			}
		}
	}
}

func sameRows(a, b *fleet.Config) bool {
	return fmt.Sprint(a.Services, a.Routes, a.Accounts, a.Withdrawals) ==
		fmt.Sprint(b.Services, b.Routes, b.Accounts, b.Withdrawals)
}
