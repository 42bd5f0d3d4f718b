package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// loader collects the values and the faults of one set of settings.
type loader struct {
	source string
	node   Node
	faults Faults
	// seen holds the position of each key that was given, right or wrong, and
	// of each section.
	seen map[string]position
	// bad holds the keys with a fault; cross checks skip them.
	bad map[string]bool
}

// Load reads the settings of a node from a YAML file. The error is a Faults
// with every fault of the file.
func Load(path string) (Node, error) { return load(path, nil) }

// Parse reads settings from memory. The name of the source appears in faults.
// The error is a Faults.
func Parse(source string, data []byte) (Node, error) { return parse(source, data, nil) }

func load(path string, flags []flagValue) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Defaults(), Faults{{Source: path, Code: codes.SettingsUnreadable, Detail: readReason(err)}}
	}
	return parse(path, data, flags)
}

func parse(source string, data []byte, flags []flagValue) (Node, error) {
	l := &loader{source: source, node: Defaults(), seen: map[string]position{}, bad: map[string]bool{}}
	if !l.readFile(data) {
		return l.node, l.faults.err()
	}
	for _, flag := range flags {
		l.readFlag(flag)
	}
	l.readSecretFile()
	l.checkRequired()
	l.checkAddresses()
	l.checkRelations()
	l.faults.sort()
	return l.node, l.faults.err()
}

// readReason drops the path from an error of package os; the fault names it.
func readReason(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

func (l *loader) fault(at position, path string, code codes.Code, format string, args ...any) {
	l.bad[path] = true
	l.faults = append(l.faults, Fault{Source: at.source, Line: at.line, Column: at.column,
		Key: path, Code: code, Detail: fmt.Sprintf(format, args...)})
}

// readFile reports whether the file could be parsed.
func (l *loader) readFile(data []byte) bool {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		l.faultSyntax(err)
		return false
	}
	l.seen[""] = position{source: l.source, line: 1, column: 1}
	for i, document := range file.Docs {
		if i > 0 && document.Body != nil {
			l.fault(positionOf(l.source, document.Body), "", codes.SettingsUnsupported, "a second document starts here")
			break
		}
		l.readSection("", document.Body)
	}
	return true
}

func (l *loader) faultSyntax(err error) {
	at, message := position{source: l.source, line: 1, column: 1}, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			at.line, at.column = token.Position.Line, token.Position.Column
		}
	}
	l.fault(at, "", codes.SettingsSyntax, "%s", message)
}

// readSection reads the keys below path. An empty section holds no key.
func (l *loader) readSection(path string, node ast.Node) {
	switch section := node.(type) {
	case nil, *ast.NullNode:
	case *ast.MappingNode:
		for _, entry := range section.Values {
			l.readEntry(path, entry)
		}
	case *ast.MappingValueNode:
		l.readEntry(path, section)
	default:
		found := valueOf(l.source, node)
		if found.form == formUnsupported {
			l.fault(found.at, path, codes.SettingsUnsupported, "the section is an anchor, an alias or a tag")
			return
		}
		l.fault(found.at, path, codes.SettingsWrongType, "expected keys and values, found %s", found.describe())
	}
}

func (l *loader) readEntry(section string, entry *ast.MappingValueNode) {
	at := positionOf(l.source, entry.Key)
	name, isText := entry.Key.(*ast.StringNode)
	if !isText {
		l.fault(at, join(section, entry.Key.String()), codes.SettingsUnsupported, "the key is not plain text")
		return
	}
	path := join(section, name.Value)
	k, known := keyAt(path)
	if !known && !isSection(path) {
		l.fault(at, path, codes.SettingsUnknownKey, "there is no key %q%s", path, suggestion(path))
		return
	}
	if first, twice := l.seen[path]; twice {
		l.fault(at, path, codes.SettingsDuplicateKey, "the key is already given in line %d", first.line)
		return
	}
	l.seen[path] = at
	if !known {
		l.readSection(path, entry.Value)
		return
	}
	l.store(k, valueOf(l.source, entry.Value))
}

func (l *loader) store(k key, v value) {
	if k.kind == kindSeeds {
		l.storeSeeds(k, v)
		return
	}
	l.seen[k.path] = v.at
	if bad := k.store(&l.node, v); bad != nil {
		l.fault(v.at, k.path, bad.code, "%s", bad.detail)
	}
}

// storeSeeds checks each address of the list by itself, so that every wrong one
// is reported.
func (l *loader) storeSeeds(k key, v value) {
	if v.form == formFlag {
		v = splitFlag(v)
	}
	if v.form != formList {
		bad := k.refuseType(v)
		l.fault(v.at, k.path, bad.code, "%s", bad.detail)
		return
	}
	seeds, first := []string{}, map[string]bool{}
	for i, item := range v.items {
		path := fmt.Sprintf("%s[%d]", k.path, i)
		l.seen[path] = item.at
		if bad := checkSeed(item, first); bad != nil {
			l.fault(item.at, path, bad.code, "%s", bad.detail)
			continue
		}
		first[item.text] = true
		seeds = append(seeds, item.text)
	}
	*k.field(&l.node).(*[]string) = seeds
}

func checkSeed(item value, earlier map[string]bool) *refusal {
	k := key{kind: kindAddress}
	if !item.isScalarText() {
		return k.refuseType(item)
	}
	if earlier[item.text] {
		return refuse(codes.SettingsAddressClash, "%s is given twice", item.text)
	}
	return checkAddress(item.text)
}

// readSecretFile takes the secret from secret_file if that is given.
func (l *loader) readSecretFile() {
	at, given := l.seen["secret_file"]
	if !given || l.bad["secret_file"] {
		return
	}
	if _, both := l.seen["secret"]; both {
		l.fault(at, "secret_file", codes.SettingsBadSecret, "both secret and secret_file are given")
		return
	}
	name := l.node.SecretFile
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(l.source), name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		l.fault(at, "secret_file", codes.SettingsBadSecret, "%s cannot be read: %s", name, readReason(err))
		return
	}
	secret := strings.TrimRight(string(data), " \t\r\n")
	if bad := checkSecret(secret); bad != nil {
		l.fault(at, "secret_file", bad.code, "%s: %s", name, bad.detail)
		return
	}
	l.node.Secret = secret
}

func join(section, name string) string {
	if section == "" {
		return name
	}
	return section + "." + name
}
