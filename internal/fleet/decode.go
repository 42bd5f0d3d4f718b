package fleet

import (
	"encoding/json"
	"strings"
)

// Apply returns the configuration that results from c and rows, at the given
// version. Rows that are not configuration are ignored, and so are rows that
// do not decode: a row that one version of the program cannot read must not
// take the others out of force. The keys of these are returned.
func (c *Config) Apply(version uint64, rows []Row) (*Config, []string) {
	next := c.cloneFor(rows)
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

// cloneFor returns a copy of c in which the maps that rows change are copied.
// The others are shared: published maps never change, and a copy of the 48,000
// accounts takes the control goroutine several milliseconds.
func (c *Config) cloneFor(rows []Row) *Config {
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
