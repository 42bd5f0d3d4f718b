package fleet

import (
	"encoding/json"
	"strings"
)

// Apply returns a copy of c with rows applied, at the given version. Rows with
// other than configuration keys are ignored. Rows that do not decode are skipped
// and their keys are returned: a row that this version of the program cannot read
// must not keep the others from coming into force.
func (c *Config) Apply(version uint64, rows []Row) (*Config, []string) {
	next := c.cloneChangedMaps(rows)
	next.Version = version
	var unreadable []string
	for _, row := range rows {
		if !next.applyRow(row) {
			unreadable = append(unreadable, row.Key)
		}
	}
	if anyHasPrefix(rows, PrefixRoute) {
		next.Index = NewRouteIndex(next.Routes)
	}
	return next, unreadable
}

func (c *Config) applyRow(row Row) bool {
	prefix, id, found := strings.Cut(row.Key, "/")
	if !found {
		return true
	}
	switch prefix + "/" {
	case PrefixService:
		return applyValue(c.Services, id, row.Value)
	case PrefixRoute:
		return applyValue(c.Routes, id, row.Value)
	case PrefixAccount:
		return applyValue(c.Accounts, id, row.Value)
	case PrefixWithdrawal:
		return applyValue(c.Withdrawals, id, row.Value)
	}
	return true
}

func applyValue[T any](values map[string]T, id string, data json.RawMessage) bool {
	if data == nil {
		delete(values, id)
		return true
	}
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return false
	}
	values[id] = value
	return true
}

// cloneChangedMaps returns a copy of c with copies of the maps that rows change. The
// other maps are shared: published maps never change, and copying the 48,000
// accounts would occupy the control goroutine for several milliseconds.
func (c *Config) cloneChangedMaps(rows []Row) *Config {
	next := *c
	if anyHasPrefix(rows, PrefixService) {
		next.Services = cloneMap(c.Services)
	}
	if anyHasPrefix(rows, PrefixRoute) {
		next.Routes = cloneMap(c.Routes)
	}
	if anyHasPrefix(rows, PrefixAccount) {
		next.Accounts = cloneMap(c.Accounts)
	}
	if anyHasPrefix(rows, PrefixWithdrawal) {
		next.Withdrawals = cloneMap(c.Withdrawals)
	}
	return &next
}

func anyHasPrefix(rows []Row, prefix string) bool {
	for _, row := range rows {
		if strings.HasPrefix(row.Key, prefix) {
			return true
		}
	}
	return false
}

func cloneMap[T any](values map[string]T) map[string]T {
	clone := make(map[string]T, len(values))
	for key, value := range values {
		clone[key] = value
	}
	return clone
}
