package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// Guards against input that crashes the parser, faults without a code of the
// settings, and accepted settings that the command line would not accept again.
func FuzzParse(f *testing.F) {
	f.Add(validText(f))
	f.Fuzz(func(t *testing.T, text string) {
		node, err := settings.Parse("testdata/node.yaml", []byte(text))
		if err == nil {
			if node.ID == "" || node.Secret == "" || node.Listen.Caller == "" || node.Limits.LedgerEntries < 100 {
				t.Fatalf("accepted incomplete settings %+v", node)
			}
			return
		}
		var faults settings.Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("error %v holds no fault", err)
		}
		for _, fault := range faults {
			if fault.Code.Number < 5000 || fault.Code.Number > 5999 || fault.Line < 1 || fault.Column < 1 {
				t.Fatalf("fault %v has no code or position", fault)
			}
		}
	})
}

// Guards against a --set value that crashes the parser or changes another key.
func FuzzSet(f *testing.F) {
	f.Add("timing.stop_limit=30s")
	f.Add("seeds=127.0.0.1:1,,[::1]:2")
	f.Fuzz(func(t *testing.T, pair string) {
		if strings.HasPrefix(pair, "secret_file=") {
			t.Skip("names a file of the machine")
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
