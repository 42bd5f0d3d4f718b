package codes_test

import (
	"os"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// TestCodePage guards against a change of a code without regenerating docs/codes.md.
func TestCodePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != codes.Page() {
		t.Fatal(`docs/codes.md is out of date; run "go generate ./internal/codes"`)
	}
}

// TestEveryCodeIsComplete guards against a code that lacks a name, meaning or action, that falls outside the
// ranges of the page, that shares its name with another code, or whose outcome is not one of the three.
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
