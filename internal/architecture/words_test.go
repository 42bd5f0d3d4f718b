package architecture

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformWords are names of the users' platform. Each is decoded once, in the
// adapter.
var platformWords = regexp.MustCompile(`Request-Timeout-Ms|Target-Instance|Response-Signature|Not-Executed|Caller-Service|` +
	`"Request-Id"|rows-tx|rows-get|rows-feed|/tarragonford/(ready|rpc|rows|blob)|virtual_hosts|target_latency_s|cold_remaining_s|heartbeat_addr`)

// Guards against code that knows the platform's names outside the adapter, and
// against an adapter that grows.
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
		if word := platformWords.Find(data); word != nil {
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

// Guards against an adapter that decides: it may know the types of the decisions
// but none of the packages that hold them.
func TestTheAdapterDecidesNothing(t *testing.T) {
	for _, name := range importsOf(t, "../../platform") {
		switch strings.TrimPrefix(name, module+"internal/") {
		case "gate", "pick", "route", "admit", "detect", "eject", "intent", "httpconn":
			t.Errorf("the adapter imports %s", name)
		}
	}
}
