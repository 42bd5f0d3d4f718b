package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// Guards against a configuration page that does not match the schema.
func TestConfigurationPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != settings.Page() {
		t.Fatal(`docs/configuration.md is out of date; run "go generate ./internal/settings"`)
	}
}

// Guards against a field of Node that no key in the schema sets.
func TestEveryFieldHasAKey(t *testing.T) {
	fields := countFields(reflect.TypeFor[settings.Node]())
	if keys := strings.Count(settings.Page(), "\n| `") - strings.Count(settings.Page(), "\n| `--"); keys != fields {
		t.Fatalf("the schema has %d keys for %d fields", keys, fields)
	}
}

func countFields(structure reflect.Type) int {
	fields := 0
	for i := range structure.NumField() {
		if field := structure.Field(i).Type; field.Kind() == reflect.Struct {
			fields += countFields(field)
		} else {
			fields++
		}
	}
	return fields
}
