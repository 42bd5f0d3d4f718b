package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Exit codes of Overrides.Check.
const (
	exitOK     = 0
	exitFaulty = 2
)

// Overrides are the flags of tarragond for go-flags. Flags override the file;
// a later --set overrides an earlier one, and --log-level overrides both.
type Overrides struct {
	// Config is the settings file.
	Config string `long:"config" value-name:"FILE" description:"settings file (YAML)"`
	// CheckConfig asks for a check of the settings without a start.
	CheckConfig bool `long:"check-config" description:"check the settings, print OK or every fault, and exit with 0 or 2"`
	// Version asks for the version.
	Version bool `long:"version" description:"print the version and exit"`
	// LogLevel replaces telemetry.log_level.
	LogLevel string `long:"log-level" value-name:"LEVEL" description:"debug, info, warn or error; replaces telemetry.log_level"`
	// Set holds key=value pairs with dotted keys. Lists are separated by commas.
	Set []string `long:"set" value-name:"KEY=VALUE" description:"replace one key of the settings file; may be repeated"`
}

// flagValue is one value of the command line.
type flagValue struct {
	flag, key, text string
}

// Load reads the file and applies the flags. The error is a Faults with every
// fault of both.
func (o Overrides) Load() (Node, error) {
	flags, faults := o.flagValues()
	if o.Config == "" {
		faults = append(faults, Fault{Source: "--config", Code: codes.SettingsUnreadable, Detail: "no settings file is given"})
		return Defaults(), faults
	}
	node, err := load(o.Config, flags)
	if err != nil {
		faults = append(faults, err.(Faults)...)
	}
	return node, faults.err()
}

// Check writes OK or one line per fault to out and returns the exit code of the
// process: 0 or 2.
func (o Overrides) Check(out io.Writer) int {
	if _, err := o.Load(); err != nil {
		fmt.Fprintln(out, err)
		return exitFaulty
	}
	fmt.Fprintln(out, "OK")
	return exitOK
}

func (o Overrides) flagValues() ([]flagValue, Faults) {
	var flags []flagValue
	var faults Faults
	for _, pair := range o.Set {
		name, text, found := strings.Cut(pair, "=")
		switch {
		case !found || name == "":
			faults = append(faults, Fault{Source: "--set", Code: codes.SettingsBadOverride, Detail: "the flag has no key or no \"=\""})
		case name == "secret":
			faults = append(faults, Fault{Source: "--set", Key: name, Code: codes.SettingsBadSecret,
				Detail: "other users of the machine can see a secret on the command line; use secret_file"})
		default:
			flags = append(flags, flagValue{flag: "--set", key: name, text: text})
		}
	}
	if o.LogLevel != "" {
		flags = append(flags, flagValue{flag: "--log-level", key: "telemetry.log_level", text: o.LogLevel})
	}
	return flags, faults
}

func (l *loader) readFlag(flag flagValue) {
	at := position{source: flag.flag}
	k, known := keyAt(flag.key)
	if !known {
		l.fault(at, flag.key, codes.SettingsUnknownKey, "there is no key %q%s", flag.key, suggestion(flag.key))
		return
	}
	l.seen[flag.key] = at
	l.store(k, value{form: formFlag, text: flag.text, at: at})
}

// splitFlag turns the comma-separated text of a flag into a list.
func splitFlag(v value) value {
	list := value{form: formList, at: v.at}
	for _, text := range strings.Split(v.text, ",") {
		if text != "" {
			list.items = append(list.items, value{form: formFlag, text: text, at: v.at})
		}
	}
	return list
}
