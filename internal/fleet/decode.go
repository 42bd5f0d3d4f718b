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
	next := c.clone()
	next.Version = version
	var unreadable []string
	routesChanged := false
	for _, row := range rows {
		if !next.applyRow(row) {
			unreadable = append(unreadable, row.Key)
		}
		routesChanged = routesChanged || strings.HasPrefix(row.Key, PrefixRoute)
	}
	if routesChanged {
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

func (c *Config) clone() *Config {
	return &Config{
		Version:     c.Version,
		Services:    cloneMap(c.Services),
		Routes:      cloneMap(c.Routes),
		Accounts:    cloneMap(c.Accounts),
		Withdrawals: cloneMap(c.Withdrawals),
		Index:       c.Index,
	}
}

func cloneMap[T any](values map[string]T) map[string]T {
	clone := make(map[string]T, len(values))
	for key, value := range values {
		clone[key] = value
	}
	return clone
}
