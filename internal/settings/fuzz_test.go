package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// Guards against input that panics the parser, diagnostics without a settings
// code or a position, and incomplete settings that are accepted.
func FuzzParse(f *testing.F) {
	f.Add(validSettings(f))
	f.Fuzz(func(t *testing.T, text string) {
		node, err := settings.Parse("testdata/node.yaml", []byte(text))
		if err == nil {
			if node.ID == "" || node.Secret == "" || node.Listen.Caller == "" || node.Limits.LedgerEntries < 100 {
				t.Fatalf("accepted incomplete settings %+v", node)
			}
			return
		}
		var diagnostics settings.Diagnostics
		if !errors.As(err, &diagnostics) || len(diagnostics) == 0 {
			t.Fatalf("error %v has no diagnostics", err)
		}
		for _, d := range diagnostics {
			if d.Code.Number < 5000 || d.Code.Number > 5999 || d.Line < 1 || d.Column < 1 {
				t.Fatalf("diagnostic %v has no settings code or position", d)
			}
		}
	})
}

// Guards against a --set value that panics the parser or changes another key.
func FuzzSet(f *testing.F) {
	f.Add("timing.stop_limit=30s")
	f.Add("seeds=127.0.0.1:1,,[::1]:2")
	f.Fuzz(func(t *testing.T, pair string) {
		if strings.HasPrefix(pair, "secret_file=") {
			t.Skip("secret_file would read a file outside the test data")
		}
		overrides := settings.Overrides{Config: "testdata/valid.yaml", Set: []string{pair}}
		node, err := overrides.Load()
		if err != nil {
			return
		}
		if name, _, _ := strings.Cut(pair, "="); name != "id" && node.ID != "colombo-01" {
			t.Fatalf("--set %q changed the ID to %q", pair, node.ID)
		}
	})
}
