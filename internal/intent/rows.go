package intent

import (
	"encoding/json"
	"maps"
	"sort"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// StoredRow is a row of the platform's table. An absent row has version 0.
type StoredRow struct {
	Version uint64
	Value   json.RawMessage
}

// Rows are rows of the platform's table by key.
type Rows map[string]StoredRow

// RowWrite sets or, with a nil value, deletes a configuration row.
type RowWrite struct {
	Key   string
	Value json.RawMessage
}

// service decodes the row of a service.
func (r Rows) service(name string) (fleet.Service, error) {
	row := r[fleet.PrefixService+name]
	if row.Value == nil {
		return fleet.Service{}, codes.UnknownTarget.New("no service %s is configured", name)
	}
	var service fleet.Service
	if err := json.Unmarshal(row.Value, &service); err != nil {
		return service, codes.RowUnreadable.Wrap(err, "row %s", fleet.PrefixService+name)
	}
	return service, nil
}

// withdrawals decodes every withdrawal, in ascending order of key.
func (r Rows) withdrawals() ([]fleet.Withdrawal, error) {
	var keys []string
	for key, row := range r {
		if strings.HasPrefix(key, fleet.PrefixWithdrawal) && row.Value != nil {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list := make([]fleet.Withdrawal, 0, len(keys))
	for _, key := range keys {
		var withdrawal fleet.Withdrawal
		if err := json.Unmarshal(r[key].Value, &withdrawal); err != nil {
			return nil, codes.RowUnreadable.Wrap(err, "row %s", key)
		}
		list = append(list, withdrawal)
	}
	return list, nil
}

func encode(key string, value any) (RowWrite, error) {
	data, err := json.Marshal(value)
	return RowWrite{Key: key, Value: data}, err
}

// patch encodes the changed form of a row and keeps the fields of its stored
// form that this program does not know. Without that, a node with an older
// program would revert settings that a newer one put in force.
func patch(key string, stored json.RawMessage, before, after any) (RowWrite, error) {
	fields, err := fieldsOf(stored)
	if err != nil {
		return RowWrite{}, codes.RowUnreadable.Wrap(err, "row %s", key)
	}
	known, err := encodedFields(before)
	if err != nil {
		return RowWrite{}, err
	}
	for name := range known {
		delete(fields, name)
	}
	changed, err := encodedFields(after)
	if err != nil {
		return RowWrite{}, err
	}
	maps.Copy(fields, changed)
	return encode(key, fields)
}

func fieldsOf(data json.RawMessage) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	return fields, json.Unmarshal(data, &fields)
}

func encodedFields(value any) (map[string]json.RawMessage, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return fieldsOf(data)
}
