package seed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// Mark is the value of Change.Mark in the change row that Apply writes.
const Mark = "seed"

// File is the content of a seed file.
type File struct {
	Services  []fleet.Service  `json:"services"`
	Routes    []fleet.Route    `json:"routes"`
	Accounts  []fleet.Account  `json:"accounts"`
	Operators []fleet.Operator `json:"operators"`
}

// Load reads and validates a seed file.
func Load(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, trace.ConvertSystemError(err)
	}
	file, err := Parse(data)
	if err != nil {
		return File{}, trace.BadParameter("%s: %v", path, err)
	}
	return file, nil
}

// Parse decodes and validates a seed file. Unknown keys are rejected.
func Parse(data []byte) (File, error) {
	var file File
	jsonData, err := yaml.YAMLToJSON(data)
	if err != nil {
		return file, err
	}
	decoder := json.NewDecoder(bytes.NewReader(jsonData))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return file, err
	}
	return file, file.Validate()
}

// Validate returns an error for the first value that is invalid, the first duplicate, or
// the first route to a service that the file does not define.
func (f File) Validate() error {
	services := map[string]bool{}
	for _, service := range f.Services {
		if err := firstError(service.Validate(), checkUnique(services, service.Name, "service")); err != nil {
			return err
		}
	}
	routes, accounts := map[string]bool{}, map[string]bool{}
	for _, route := range f.Routes {
		if err := firstError(route.Validate(), checkUnique(routes, route.ID, "route")); err != nil {
			return err
		}
		if !services[route.Service] {
			return fmt.Errorf("route %s refers to service %s, which is not defined in the file", route.ID, route.Service)
		}
	}
	for _, account := range f.Accounts {
		if err := firstError(account.Validate(), checkUnique(accounts, account.ID, "account")); err != nil {
			return err
		}
	}
	return f.validateOperators()
}

func (f File) validateOperators() error {
	operators, hashes := map[string]bool{}, map[string]bool{}
	for _, operator := range f.Operators {
		err := firstError(
			operator.Validate(),
			checkUnique(operators, operator.ID, "operator"),
			checkUnique(hashes, operator.TokenHash, "token hash"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkUnique(seen map[string]bool, name, kind string) error {
	if seen[name] {
		return fmt.Errorf("duplicate %s %s", kind, name)
	}
	seen[name] = true
	return nil
}

// Apply writes the rows of f, the counter row with value 1, and the first change row in
// one transaction. It returns platform.ErrConflict if the table already has a counter
// row.
func Apply(ctx context.Context, store platform.Store, f File) error {
	writes, keys, err := f.rows()
	if err != nil {
		return err
	}
	change, err := json.Marshal(fleet.Change{Version: 1, Keys: keys, Mark: Mark})
	if err != nil {
		return err
	}
	writes = append(writes,
		platform.Write{Key: fleet.KeyCounter, Value: json.RawMessage("1")},
		platform.Write{Key: fleet.ChangeKey(1), Value: change},
	)
	checks := []platform.Check{{Key: fleet.KeyCounter, Version: 0}}
	return store.Transact(ctx, fleet.Table, checks, writes)
}

// rows returns the writes for f and the keys of its configuration rows. Operators are not
// part of the configuration that nodes hold, so the change row does not list their keys.
func (f File) rows() ([]platform.Write, []string, error) {
	var writes []platform.Write
	var keys []string
	add := func(key string, value any) error {
		data, err := json.Marshal(value)
		writes = append(writes, platform.Write{Key: key, Value: data})
		return err
	}
	addConfig := func(key string, value any) error {
		keys = append(keys, key)
		return add(key, value)
	}
	for _, service := range f.Services {
		if err := addConfig(fleet.PrefixService+service.Name, service); err != nil {
			return nil, nil, err
		}
	}
	for _, route := range f.Routes {
		if err := addConfig(fleet.PrefixRoute+route.ID, route); err != nil {
			return nil, nil, err
		}
	}
	for _, account := range f.Accounts {
		if err := addConfig(fleet.PrefixAccount+account.ID, account); err != nil {
			return nil, nil, err
		}
	}
	for _, operator := range f.Operators {
		if err := add(fleet.PrefixOperator+operator.ID, operator); err != nil {
			return nil, nil, err
		}
	}
	return writes, keys, nil
}
