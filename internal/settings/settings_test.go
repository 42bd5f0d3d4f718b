package settings_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/settings"
)

func validSettings(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/valid.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against keys that are accepted but whose value is not stored.
func TestValidSettings(t *testing.T) {
	g := NewWithT(t)
	node, err := settings.Load("testdata/valid.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.ID).To(Equal("colombo-01"))
	g.Expect(node.Seeds).To(Equal([]string{"127.0.0.1:7103", "127.0.0.2:7103"}))
	g.Expect(node.Listen.Admin).To(Equal("[::1]:7105"))
	g.Expect(node.Platform.Timeout).To(Equal(1500 * time.Millisecond))
	g.Expect(node.Limits.RequestBody).To(BeEquivalentTo(2 << 20))
	g.Expect(node.Limits.HeaderBytes).To(BeEquivalentTo(64 << 10))
	g.Expect(node.Limits.LedgerEntries).To(Equal(5000))
	g.Expect(node.Limits.BufferedAnswer).To(Equal(settings.Defaults().Limits.BufferedAnswer))
	g.Expect(node.Telemetry.SampleRatio).To(Equal(0.01))
}

// invalidCase is one edit of testdata/valid.yaml and the error that it causes.
type invalidCase struct {
	name, from, to string
	// location is the position, key and code; detail is part of the message.
	location, detail string
}

var invalidSettings = []invalidCase{
	{"unknown key", "id: colombo-01", "id: colombo-01\nzone: a", "2:1: zone: 5003", `there is no key "zone"`},
	{"misspelt key", "  timeout:", "  timout:", "16:3: platform.timout: 5003", `did you mean "platform.timeout"?`},
	{"unknown section", "timing:", "timings:", "22:1: timings: 5003", `there is no key "timings"`},
	{"key given twice", "region: western", "region: western\nregion: eastern", "3:1: region: 5004", "already given in line 2"},
	{"section given twice", "timing:", "limits:", "22:1: limits: 5004", "already given in line 17"},
	{"missing key", "region: western\n", "", "1:1: region: 5005", "the key is required (name)"},
	{"missing key of a section", "  caller: 127.0.0.1:7101\n", "", "8:1: listen.caller: 5005", "the key is required (address)"},
	{"missing secret", "secret: correct-horse-battery-staple\n", "", "1:1: secret: 5005", "secret or secret_file is required"},
	{"number as name", "id: colombo-01", "id: 17", "1:5: id: 5006", "put it in quotes if it is meant as text"},
	{"boolean as address", "127.0.0.1:7101", "true", "9:11: listen.caller: 5006", "expected an address, found true"},
	{"list as number", "ledger_entries: 5000", "ledger_entries: [1]", "20:19: limits.ledger_entries: 5006", "found a list"},
	{"text as number", "ledger_entries: 5000", "ledger_entries: many", "20:19: limits.ledger_entries: 5006", `found "many"`},
	{"value as section", "timing:\n  gossip_interval: 250ms", "timing: fast", "22:9: timing: 5006", `expected keys and values, found "fast"`},
	{"text as list", "seeds:\n  - 127.0.0.1:7103\n  - 127.0.0.2:7103", "seeds: 127.0.0.1:7103", "5:8: seeds: 5006", "expected a list of addresses"},
	{"no value", "id: colombo-01", "id:", "1:4: id: 5006", "found no value"},
	{"duration without unit", "timeout: 1500ms", "timeout: 1500", "16:12: platform.timeout: 5007", "1500 has no unit"},
	{"quoted duration without unit", "timeout: 1500ms", `timeout: "0"`, "16:12: platform.timeout: 5007", `"0" has no unit`},
	{"bad duration", "timeout: 1500ms", "timeout: 2 days", "16:12: platform.timeout: 5008", `"2 days" is not a valid duration`},
	{"size without unit", "request_body: 2MiB", "request_body: 2048", "18:17: limits.request_body: 5009", "2048 has no unit"},
	{"size with a decimal unit", "request_body: 2MiB", "request_body: 2MB", "18:17: limits.request_body: 5010", `"2MB" is not a valid size`},
	{"size beyond 64 bits", "request_body: 2MiB", "request_body: 99999999999GiB", "18:17: limits.request_body: 5011", "is not between 1KiB and 1GiB"},
	{"negative duration", "timeout: 1500ms", "timeout: -5s", "16:12: platform.timeout: 5011", "-5s is not between 10ms and 1m"},
	{"count too small", "ledger_entries: 5000", "ledger_entries: 0", "20:19: limits.ledger_entries: 5011", "0 is not between 100 and 10000000"},
	{"count beyond 64 bits", "ledger_entries: 5000", "ledger_entries: 18446744073709551615", "20:19: limits.ledger_entries: 5011", "is not between"},
	{"ratio too large", "sample_ratio: 0.01", "sample_ratio: 1.5", "27:17: telemetry.sample_ratio: 5011", "1.5 is not between 0 and 1"},
	{"ratio not a number", "sample_ratio: 0.01", "sample_ratio: .nan", "27:17: telemetry.sample_ratio: 5006", "expected a number"},
	{"address without port", "caller: 127.0.0.1:7101", "caller: 127.0.0.1", "9:11: listen.caller: 5012", "has no port"},
	{"port out of range", "127.0.0.1:7101", "127.0.0.1:70000", "9:11: listen.caller: 5012", "has no port from 1 to 65535"},
	{"port zero", "127.0.0.1:7101", "127.0.0.1:0", "9:11: listen.caller: 5012", "has no port from 1 to 65535"},
	{"IPv6 without brackets", `"[::1]:7105"`, `"::1:7105"`, "13:10: listen.admin: 5012", "in brackets"},
	{"host name", "127.0.0.1:7101", "localhost:7101", "9:11: listen.caller: 5013", `"localhost" is not an IP address`},
	{"wildcard address", "127.0.0.1:7101", "0.0.0.0:7101", "9:11: listen.caller: 5013", "is a wildcard or multicast address"},
	{"clashing listeners", "traffic: 127.0.0.1:7102", "traffic: 127.0.0.1:7101", "10:12: listen.traffic: 5014", "also the address of listen.caller"},
	{"collector on a listener", "127.0.0.1:4318", "127.0.0.1:7103", "26:18: telemetry.otlp_endpoint: 5014", "also the address of listen.control"},
	{"seed given twice", "127.0.0.2:7103", "127.0.0.1:7103", "7:5: seeds[1]: 5014", "given twice"},
	{"seed with the wrong listener", "127.0.0.2:7103", "127.0.0.1:7102", "7:5: seeds[1]: 5014", "seeds are control addresses"},
	{"unknown choice", "log_format: console", "log_format: xml", "25:15: telemetry.log_format: 5015", `"xml" is not one of json, console`},
	{"URL without scheme", "url: http://127.0.0.1:7000", "url: 127.0.0.1:7000", "15:8: platform.url: 5016", "5016 settings-bad-url"},
	{"URL with a password", "http://127.0.0.1:7000", "http://u:p@127.0.0.1:7000", "15:8: platform.url: 5016", "has user information"},
	{"name with a space", "id: colombo-01", "id: colombo 01", "1:5: id: 5017", `"colombo 01" is not a valid name`},
	{"short secret", "correct-horse-battery-staple", "hunter2", "4:9: secret: 5018", "the secret has 7 bytes"},
	{"two secrets", "seeds:", "secret_file: s\nseeds:", "5:14: secret_file: 5018", "both secret and secret_file"},
	{"secret file missing", "secret: correct-horse-battery-staple", "secret_file: nowhere", "4:14: secret_file: 5018", "no such file"},
	{"key outlives its record", "gossip_interval: 250ms", "key_lifetime: 1h", "23:17: timing.key_lifetime: 5020", "exceeds timing.fence_retention"},
	{"sampling to nowhere", "  otlp_endpoint: 127.0.0.1:4318\n", "", "26:17: telemetry.sample_ratio: 5020", "no span would be exported"},
	{"anchor", "id: colombo-01", "id: &a colombo-01", "1:5: id: 5021", "an anchor"},
	{"second document", "  sample_ratio: 0.01\n", "  sample_ratio: 0.01\n---\nid: b\n", "5021", "a second document"},
	{"tab", "  timeout: 1500ms", "\ttimeout: 1500ms", ": 5002", "settings-syntax"},
	{"unclosed bracket", "ledger_entries: 5000", "ledger_entries: [5000", ": 5002", "settings-syntax"},
}

// Guards against invalid settings that are accepted, and against messages with
// the wrong position, code or reason.
func TestWrongSettings(t *testing.T) {
	valid := validSettings(t)
	for _, w := range invalidSettings {
		t.Run(w.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(valid, w.from, w.to, 1)
			g.Expect(text).NotTo(Equal(valid))
			_, err := settings.Parse("testdata/node.yaml", []byte(text))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err.Error()).To(And(ContainSubstring(w.location), ContainSubstring(w.detail)))
			var diagnostics settings.Diagnostics
			g.Expect(errors.As(err, &diagnostics)).To(BeTrue())
			g.Expect(diagnostics[0].Code.Action).NotTo(BeEmpty())
		})
	}
}

// Guards against validation that stops at the first error, which forces operators
// to fix a file one error at a time.
func TestAllFaultsAtOnce(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Load("testdata/many-faults.yaml")
	g.Expect(err).To(HaveOccurred())
	lines := strings.Split(err.Error(), "\n")
	want := []string{":1:1: listen.caller: 5005", ":1:1: platform.url: 5005", ":1:5: id: 5017", ":2:1: regoin: 5003",
		":4:9: secret: 5018", ":6:5: seeds[0]: 5013", ":8:5: seeds[2]: 5012", ":10:17: limits.request_body: 5009",
		":11:17: limits.max_deadline: 5007"}
	for _, part := range want {
		g.Expect(lines).To(ContainElement(HavePrefix("testdata/many-faults.yaml"+part)), part)
	}
	g.Expect(err).To(MatchError(codes.SettingsSizeUnit.New("")))
}

// Guards against a secret that appears in an error message.
func TestSecretIsNotPrinted(t *testing.T) {
	g := NewWithT(t)
	for _, secret := range []string{"hunter2", "123456", "[hunter2]"} {
		text := strings.Replace(validSettings(t), "correct-horse-battery-staple", secret, 1)
		_, err := settings.Parse("node.yaml", []byte(text))
		g.Expect(err).To(HaveOccurred())
		g.Expect(err.Error()).NotTo(ContainSubstring(strings.Trim(secret, "[]")))
	}
}

// Guards against a trailing newline in the secret file that becomes part of the
// secret.
func TestSecretFile(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	text := strings.Replace(validSettings(t), "secret: correct-horse-battery-staple", "secret_file: fleet.key", 1)
	g.Expect(os.WriteFile(filepath.Join(directory, "node.yaml"), []byte(text), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(directory, "fleet.key"), []byte("0123456789abcdef\n"), 0o600)).To(Succeed())
	node, err := settings.Load(filepath.Join(directory, "node.yaml"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.Secret).To(Equal("0123456789abcdef"))
}

func parseFlags(g *WithT, args ...string) settings.Overrides {
	var overrides settings.Overrides
	_, err := flags.NewParser(&overrides, flags.None).ParseArgs(args)
	g.Expect(err).NotTo(HaveOccurred())
	return overrides
}

// Guards against flags that do not override the file in the documented order.
func TestFlagsOverrideTheFile(t *testing.T) {
	g := NewWithT(t)
	node, err := parseFlags(g, "--config", "testdata/valid.yaml", "--log-level", "debug",
		"--set", "telemetry.log_level=error", "--set", "timing.stop_limit=30s", "--set", "timing.stop_limit=40s",
		"--set", "limits.ledger_entries=300", "--set", "seeds=127.0.0.9:1,127.0.0.9:2",
		"--set", "telemetry.sample_ratio=0.5", "--set", "limits.request_body=8KiB").Load()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.Telemetry.LogLevel).To(Equal("debug"))
	g.Expect(node.Timing.StopLimit).To(Equal(40 * time.Second))
	g.Expect(node.Limits.LedgerEntries).To(Equal(300))
	g.Expect(node.Seeds).To(Equal([]string{"127.0.0.9:1", "127.0.0.9:2"}))
	g.Expect(node.Telemetry.SampleRatio).To(Equal(0.5))
	g.Expect(node.Limits.RequestBody).To(BeEquivalentTo(8 << 10))
}

// Guards against invalid flags that are ignored, and against --check-config
// exiting with the wrong code.
func TestCheckConfig(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--config", "testdata/valid.yaml"}, 0, "OK"},
		{nil, 2, "--config: 5001"},
		{[]string{"--config", "testdata/none.yaml"}, 2, "testdata/none.yaml: 5001 settings-unreadable: no such file"},
		{[]string{"--config", "testdata/valid.yaml", "--set", "nonsense"}, 2, "--set: 5019"},
		{[]string{"--config", "testdata/valid.yaml", "--set", "limits=1"}, 2, "--set: limits: 5003"},
		{[]string{"--config", "testdata/valid.yaml", "--set", "secret=0123456789abcdef"}, 2, "--set: secret: 5018"},
		{[]string{"--config", "testdata/valid.yaml", "--set", "limits.ledger_entries=x"}, 2, "limits.ledger_entries: 5006"},
		{[]string{"--config", "testdata/valid.yaml", "--set", "limits.max_deadline=30"}, 2, "limits.max_deadline: 5007"},
		{[]string{"--config", "testdata/valid.yaml", "--log-level", "loud"}, 2, "--log-level: telemetry.log_level: 5015"},
	} {
		g := NewWithT(t)
		var out bytes.Buffer
		g.Expect(parseFlags(g, c.args...).Check(&out)).To(Equal(c.code))
		g.Expect(out.String()).To(ContainSubstring(c.want))
	}
}
