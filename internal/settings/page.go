package settings

import (
	"fmt"
	"strings"
)

const pageHead = `# Configuration of a node

<!-- Generated from internal/settings/schema.go by "go generate ./internal/settings". Do not edit. -->

` + "`tarragond --config FILE`" + ` reads the settings of a node from one YAML file. Keys with a dot in
the tables below are nested: ` + "`limits.request_body`" + ` is the key ` + "`request_body`" + ` in the
section ` + "`limits`" + `. The settings hold what one process needs to start. Services, routes, accounts
and withdrawals are not settings; they come from the platform's table.

The file is read strictly. Every fault is reported in one go, with file, line, column, key and a
numbered code (5000-5999 in [codes.md](codes.md)), and the node does not start.

- A duration is a number and a unit: ` + "`ms`, `s`, `m` or `h`" + `, as in ` + "`500ms` or `1h30m`" + `. Plain
  numbers are refused.
- A size is a whole number and a unit: ` + "`B`, `KiB`, `MiB` or `GiB`" + `, as in ` + "`256KiB`" + `. Plain numbers
  are refused.
- An address is an IP number and a port, as in ` + "`10.1.2.3:7001` or `\"[fd00::1]:7001\"`" + `. Host names and
  wildcard addresses are refused, because nodes tell these addresses to each other. No two keys may
  hold the same address.
- A name has 1 to 63 ASCII letters, digits, dots, underscores and hyphens and starts with a letter or
  digit.

## Flags

| flag | effect |
| --- | --- |
| ` + "`--config FILE`" + ` | the settings file |
| ` + "`--check-config`" + ` | check the file and the flags, print OK or every fault, exit with 0 or 2 |
| ` + "`--log-level LEVEL`" + ` | replace ` + "`telemetry.log_level`" + ` |
| ` + "`--set KEY=VALUE`" + ` | replace one key; may be repeated; lists are separated by commas |
| ` + "`--version`" + ` | print the version and exit |

Flags override the file, a later ` + "`--set`" + ` overrides an earlier one, and ` + "`--log-level`" + ` overrides both.

## Keys
`

// Page returns docs/configuration.md.
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
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", k.path, k.kind, k.defaultCell(), k.rangeCell(), k.about)
	}
	return page.String()
}

func sectionHead(title string) string {
	return "\n### " + title + "\n\n| key | value | default | range | meaning |\n| --- | --- | --- | --- | --- |\n"
}

func (k key) defaultCell() string {
	if k.required {
		return "required"
	}
	if text := k.defaultText(); text != "" {
		return "`" + text + "`"
	}
	return "none"
}

func (k key) rangeCell() string {
	switch k.kind {
	case kindDuration, kindSize, kindCount, kindRatio:
		return fmt.Sprintf("`%s` to `%s`", k.format(k.min), k.format(k.max))
	case kindChoice:
		return "`" + strings.Join(k.choices, "`, `") + "`"
	case kindSecret:
		return fmt.Sprintf("%d to %d bytes", minSecret, maxSecret)
	}
	return ""
}
