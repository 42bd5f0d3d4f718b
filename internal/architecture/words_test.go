package architecture

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names of the wire protocols of the users' platform. Only the adapter may use
// them.
var platformNames = regexp.MustCompile(`Request-Timeout-Ms|Target-Instance|Response-Signature|Not-Executed|Caller-Service|` +
	`"Request-Id"|rows-tx|rows-get|rows-feed|/tarragonford/(ready|rpc|rows|blob)|virtual_hosts|target_latency_s|cold_remaining_s|heartbeat_addr`)

// Guards against names of the platform's protocols outside the adapter, and against an adapter that
// grows beyond its limit.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	const maxAdapterLines = 1500
	lines := 0
	err := filepath.WalkDir("../..", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		slashed := filepath.ToSlash(name)
		if entry.IsDir() {
			if base := entry.Name(); base == "target" || base == "bin" || strings.HasPrefix(base, ".") && base != ".." {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if strings.HasPrefix(slashed, "../../platform/") {
			if !strings.HasPrefix(slashed, "../../platform/standin/") {
				lines += strings.Count(string(data), "\n")
			}
			return nil
		}
		if word := platformNames.Find(data); word != nil {
			t.Errorf("%s has the platform's name %s", slashed, word)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if lines == 0 || lines > maxAdapterLines {
		t.Errorf("the adapter has %d lines, the limit is %d", lines, maxAdapterLines)
	}
}

// Guards against decisions in the adapter: it may use the types of the decisions, but must not import
// the packages that make them.
func TestTheAdapterDecidesNothing(t *testing.T) {
	for _, name := range importsOf(t, "../../platform") {
		switch strings.TrimPrefix(name, module+"internal/") {
		case "gate", "pick", "route", "admit", "detect", "eject", "intent", "httpconn":
			t.Errorf("the adapter imports %s", name)
		}
	}
}
