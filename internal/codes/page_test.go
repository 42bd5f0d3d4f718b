package codes_test

import (
	"os"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Guards against a code page that lags behind the code.
func TestCodePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != codes.Page() {
		t.Fatal(`docs/codes.md is out of date; run "go generate ./internal/codes"`)
	}
}

// Guards against codes that leave the reader without advice, that have no place
// on the page, or whose outcome is not one of the three.
func TestEveryCodeIsComplete(t *testing.T) {
	page := codes.Page()
	names := map[string]int{}
	for _, code := range codes.All() {
		if code.Name == "" || code.Meaning == "" || code.Action == "" {
			t.Errorf("code %d lacks a name, a meaning or an action", code.Number)
		}
		if code.Outcome != codes.NotRun && code.Outcome != codes.Ran && code.Outcome != codes.Unknown {
			t.Errorf("code %d has outcome %q", code.Number, code.Outcome)
		}
		if other, taken := names[code.Name]; taken {
			t.Errorf("codes %d and %d share the name %s", other, code.Number, code.Name)
		}
		names[code.Name] = code.Number
		if !strings.Contains(page, "| "+code.Name+" |") {
			t.Errorf("code %d is not on the page", code.Number)
		}
	}
}
