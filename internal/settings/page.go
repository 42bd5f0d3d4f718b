package settings

import (
	"fmt"
	"strings"
)

const pageHead = `# Configuration of a node

<!-- Generated from internal/settings/schema.go by "go generate ./internal/settings". Do not edit. -->

` + "`tarragond --config FILE`" + ` reads the settings of a node from one YAML file. Keys with a dot in
the tables below are nested: ` + "`limits.request_body`" + ` is the key ` + "`request_body`" + ` in the
section ` + "`limits`" + `. The settings contain what one process needs to start. Services, routes, accounts
and withdrawals are not part of them; they come from the platform's table.

The file is validated strictly. All errors are reported together, each with file, line, column, key and
a numbered code (5000-5999 in [codes.md](codes.md)), and the node does not start.

- A duration is a number with a unit: ` + "`ms`, `s`, `m` or `h`" + `, as in ` + "`500ms` or `1h30m`" + `. Numbers
  without a unit are rejected.
- A size is a whole number with a unit: ` + "`B`, `KiB`, `MiB` or `GiB`" + `, as in ` + "`256KiB`" + `. Numbers
  without a unit are rejected.
- An address is an IP address with a port, as in ` + "`10.1.2.3:7001` or `\"[fd00::1]:7001\"`" + `. Host names
  and wildcard addresses are rejected, because nodes advertise these addresses to each other. No two
  keys may have the same address.
- A name consists of 1 to 63 ASCII letters, digits, dots, underscores and hyphens, and starts with a
  letter or digit.

## Flags

| flag | effect |
| --- | --- |
| ` + "`--config FILE`" + ` | path of the settings file |
| ` + "`--check-config`" + ` | validate the file and the flags, print OK or every error, exit with 0 or 2 |
| ` + "`--log-level LEVEL`" + ` | override ` + "`telemetry.log_level`" + ` |
| ` + "`--set KEY=VALUE`" + ` | override one key; may be repeated; list items are separated by commas |
| ` + "`--version`" + ` | print the version and exit |

Flags take precedence over the file, a later ` + "`--set`" + ` over an earlier one, and ` + "`--log-level`" + ` over both.

## Keys
`

// Page returns the contents of docs/configuration.md.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	section := ""
	page.WriteString(sectionHead("Node"))
	for _, k := range schema {
		if first, _, nested := strings.Cut(k.path, "."); nested && first != section {
			section = first
			page.WriteString(sectionHead("`" + section + "`"))
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", k.path, k.kind, k.defaultCell(), k.rangeCell(), k.description)
	}
	return page.String()
}

func sectionHead(title string) string {
	return "\n### " + title + "\n\n| key | value | default | range | meaning |\n| --- | --- | --- | --- | --- |\n"
}

func (k keySpec) defaultCell() string {
	if k.required {
		return "required"
	}
	if text := k.defaultText(); text != "" {
		return "`" + text + "`"
	}
	return "none"
}

func (k keySpec) rangeCell() string {
	switch k.kind {
	case kindDuration, kindSize, kindCount, kindRatio:
		return fmt.Sprintf("`%s` to `%s`", k.format(k.min), k.format(k.max))
	case kindChoice:
		return "`" + strings.Join(k.choices, "`, `") + "`"
	case kindSecret:
		return fmt.Sprintf("%d to %d bytes", minSecretBytes, maxSecretBytes)
	}
	return ""
}
