package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Exit codes of Overrides.Check.
const (
	exitOK      = 0
	exitInvalid = 2
)

// Overrides defines the command-line flags of tarragond for go-flags. Flags take
// precedence over the file, a later --set over an earlier one, and --log-level
// over both.
type Overrides struct {
	// Config is the path of the settings file.
	Config string `long:"config" value-name:"FILE" description:"settings file (YAML)"`
	// CheckConfig validates the settings without starting the node.
	CheckConfig bool `long:"check-config" description:"validate the settings, print OK or every error, and exit with 0 or 2"`
	// Version prints the version and exits.
	Version bool `long:"version" description:"print the version and exit"`
	// LogLevel overrides telemetry.log_level.
	LogLevel string `long:"log-level" value-name:"LEVEL" description:"debug, info, warn or error; overrides telemetry.log_level"`
	// Set holds key=value pairs with dotted keys. List items are separated by commas.
	Set []string `long:"set" value-name:"KEY=VALUE" description:"override one key of the settings file; may be repeated"`
}

// flagValue is one override given on the command line.
type flagValue struct {
	flag, key, text string
}

// Load reads the file and applies the flags. The error is of type Diagnostics
// and holds every error of both.
func (o Overrides) Load() (Node, error) {
	flags, diagnostics := o.flagValues()
	if o.Config == "" {
		diagnostics = append(diagnostics, Diagnostic{Source: "--config", Code: codes.SettingsUnreadable, Detail: "no settings file was specified"})
		return Defaults(), diagnostics
	}
	node, err := load(o.Config, flags)
	if err != nil {
		diagnostics = append(diagnostics, err.(Diagnostics)...)
	}
	return node, diagnostics.err()
}

// Check validates the settings, writes OK or one line per error to out, and
// returns the exit code of the process: 0 or 2.
func (o Overrides) Check(out io.Writer) int {
	if _, err := o.Load(); err != nil {
		fmt.Fprintln(out, err)
		return exitInvalid
	}
	fmt.Fprintln(out, "OK")
	return exitOK
}

func (o Overrides) flagValues() ([]flagValue, Diagnostics) {
	var flags []flagValue
	var diagnostics Diagnostics
	for _, pair := range o.Set {
		name, text, found := strings.Cut(pair, "=")
		switch {
		case !found || name == "":
			diagnostics = append(diagnostics, Diagnostic{Source: "--set", Code: codes.SettingsBadOverride, Detail: "the value is not of the form KEY=VALUE"})
		case name == "secret":
			diagnostics = append(diagnostics, Diagnostic{Source: "--set", Key: name, Code: codes.SettingsBadSecret,
				Detail: "a secret on the command line is visible to other users of the machine; use secret_file"})
		default:
			flags = append(flags, flagValue{flag: "--set", key: name, text: text})
		}
	}
	if o.LogLevel != "" {
		flags = append(flags, flagValue{flag: "--log-level", key: "telemetry.log_level", text: o.LogLevel})
	}
	return flags, diagnostics
}

func (l *loader) readFlag(flag flagValue) {
	at := position{source: flag.flag}
	k, known := lookupKey(flag.key)
	if !known {
		l.report(at, flag.key, codes.SettingsUnknownKey, "there is no key %q%s", flag.key, suggestion(flag.key))
		return
	}
	l.positions[flag.key] = at
	l.set(k, value{typ: typeFlag, text: flag.text, at: at})
}

// splitFlag splits the comma-separated value of a flag into a list.
func splitFlag(v value) value {
	list := value{typ: typeList, at: v.at}
	for _, text := range strings.Split(v.text, ",") {
		if text != "" {
			list.items = append(list.items, value{typ: typeFlag, text: text, at: v.at})
		}
	}
	return list
}
