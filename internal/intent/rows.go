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

// Rows holds rows of the platform's table by key.
type Rows map[string]StoredRow

// RowWrite is a write of a configuration row. A nil value deletes the row.
type RowWrite struct {
	Key   string
	Value json.RawMessage
}

// service decodes the row of a service.
func (r Rows) service(name string) (fleet.Service, error) {
	row := r[fleet.PrefixService+name]
	if row.Value == nil {
		return fleet.Service{}, codes.UnknownTarget.New("service %s is not configured", name)
	}
	var service fleet.Service
	if err := json.Unmarshal(row.Value, &service); err != nil {
		return service, codes.RowUnreadable.Wrap(err, "row %s", fleet.PrefixService+name)
	}
	return service, nil
}

// withdrawals decodes all withdrawals, in ascending order of key.
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

func encodeRow(key string, value any) (RowWrite, error) {
	data, err := json.Marshal(value)
	return RowWrite{Key: key, Value: data}, err
}

// encodePatchedRow encodes the changed value of a row and keeps the fields of its
// stored value that this version of the program does not know. Otherwise a node
// with an older version would drop settings that a newer one had put in force.
func encodePatchedRow(key string, stored json.RawMessage, before, after any) (RowWrite, error) {
	fields, err := decodeFields(stored)
	if err != nil {
		return RowWrite{}, codes.RowUnreadable.Wrap(err, "row %s", key)
	}
	known, err := encodeFields(before)
	if err != nil {
		return RowWrite{}, err
	}
	for name := range known {
		delete(fields, name)
	}
	changed, err := encodeFields(after)
	if err != nil {
		return RowWrite{}, err
	}
	maps.Copy(fields, changed)
	return encodeRow(key, fields)
}

func decodeFields(data json.RawMessage) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	return fields, json.Unmarshal(data, &fields)
}

func encodeFields(value any) (map[string]json.RawMessage, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return decodeFields(data)
}
