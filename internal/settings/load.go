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

// loader accumulates the values and diagnostics while settings are parsed.
type loader struct {
	source      string
	node        Node
	diagnostics Diagnostics
	// positions holds the position of each key that was set, valid or not, and of
	// each section.
	positions map[string]position
	// invalid holds the keys with an error; checks across keys skip them.
	invalid map[string]bool
}

// Load reads the settings of a node from a YAML file. The error is of type
// Diagnostics and holds every error of the file.
func Load(path string) (Node, error) { return load(path, nil) }

// Parse parses settings from memory. source is the file name used in
// diagnostics. The error is of type Diagnostics.
func Parse(source string, data []byte) (Node, error) { return parse(source, data, nil) }

func load(path string, flags []flagValue) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Defaults(), Diagnostics{{Source: path, Code: codes.SettingsUnreadable, Detail: withoutPath(err)}}
	}
	return parse(path, data, flags)
}

func parse(source string, data []byte, flags []flagValue) (Node, error) {
	l := &loader{source: source, node: Defaults(), positions: map[string]position{}, invalid: map[string]bool{}}
	if !l.readFile(data) {
		return l.node, l.diagnostics.err()
	}
	for _, flag := range flags {
		l.readFlag(flag)
	}
	l.readSecretFile()
	l.checkRequired()
	l.checkAddresses()
	l.checkConstraints()
	l.diagnostics.sort()
	return l.node, l.diagnostics.err()
}

// withoutPath removes the path from an error of package os, because the
// diagnostic already names the file.
func withoutPath(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

func (l *loader) report(at position, path string, code codes.Code, format string, args ...any) {
	l.invalid[path] = true
	l.diagnostics = append(l.diagnostics, Diagnostic{Source: at.source, Line: at.line, Column: at.column,
		Key: path, Code: code, Detail: fmt.Sprintf(format, args...)})
}

// readFile parses the document and reports whether its syntax is valid.
func (l *loader) readFile(data []byte) bool {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		l.reportSyntaxError(err)
		return false
	}
	l.positions[""] = position{source: l.source, line: 1, column: 1}
	for i, document := range file.Docs {
		if i > 0 && document.Body != nil {
			l.report(positionOf(l.source, document.Body), "", codes.SettingsUnsupported, "a second document starts here")
			break
		}
		l.readSection("", document.Body)
	}
	return true
}

func (l *loader) reportSyntaxError(err error) {
	at, message := position{source: l.source, line: 1, column: 1}, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			at.line, at.column = token.Position.Line, token.Position.Column
		}
	}
	l.report(at, "", codes.SettingsSyntax, "%s", message)
}

// readSection reads the keys of a section. An empty section is valid.
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
		if found.typ == typeUnsupported {
			l.report(found.at, path, codes.SettingsUnsupported, "the section is an anchor, an alias or a tag")
			return
		}
		l.report(found.at, path, codes.SettingsWrongType, "expected keys and values, found %s", found.describe())
	}
}

func (l *loader) readEntry(section string, entry *ast.MappingValueNode) {
	at := positionOf(l.source, entry.Key)
	name, isText := entry.Key.(*ast.StringNode)
	if !isText {
		l.report(at, joinPath(section, entry.Key.String()), codes.SettingsUnsupported, "the key is not plain text")
		return
	}
	path := joinPath(section, name.Value)
	k, known := lookupKey(path)
	if !known && !isSection(path) {
		l.report(at, path, codes.SettingsUnknownKey, "there is no key %q%s", path, suggestion(path))
		return
	}
	if first, twice := l.positions[path]; twice {
		l.report(at, path, codes.SettingsDuplicateKey, "the key is already given in line %d", first.line)
		return
	}
	l.positions[path] = at
	if !known {
		l.readSection(path, entry.Value)
		return
	}
	l.set(k, valueOf(l.source, entry.Value))
}

func (l *loader) set(k keySpec, v value) {
	if k.kind == kindSeeds {
		l.setSeeds(k, v)
		return
	}
	l.positions[k.path] = v.at
	if problem := k.set(&l.node, v); problem != nil {
		l.report(v.at, k.path, problem.code, "%s", problem.detail)
	}
}

// setSeeds validates each address of the list separately, so that every invalid
// one is reported.
func (l *loader) setSeeds(k keySpec, v value) {
	if v.typ == typeFlag {
		v = splitFlag(v)
	}
	if v.typ != typeList {
		problem := k.wrongType(v)
		l.report(v.at, k.path, problem.code, "%s", problem.detail)
		return
	}
	seeds, seen := []string{}, map[string]bool{}
	for i, item := range v.items {
		path := fmt.Sprintf("%s[%d]", k.path, i)
		l.positions[path] = item.at
		if problem := checkSeed(item, seen); problem != nil {
			l.report(item.at, path, problem.code, "%s", problem.detail)
			continue
		}
		seen[item.text] = true
		seeds = append(seeds, item.text)
	}
	*k.field(&l.node).(*[]string) = seeds
}

func checkSeed(item value, earlier map[string]bool) *valueProblem {
	k := keySpec{kind: kindAddress}
	if !item.isScalarText() {
		return k.wrongType(item)
	}
	if earlier[item.text] {
		return problemf(codes.SettingsAddressClash, "%s is given twice", item.text)
	}
	return checkAddress(item.text)
}

// readSecretFile reads the secret from secret_file if that key is set.
func (l *loader) readSecretFile() {
	at, given := l.positions["secret_file"]
	if !given || l.invalid["secret_file"] {
		return
	}
	if _, both := l.positions["secret"]; both {
		l.report(at, "secret_file", codes.SettingsBadSecret, "both secret and secret_file are given")
		return
	}
	name := l.node.SecretFile
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(l.source), name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		l.report(at, "secret_file", codes.SettingsBadSecret, "%s cannot be read: %s", name, withoutPath(err))
		return
	}
	secret := strings.TrimRight(string(data), " \t\r\n")
	if problem := checkSecret(secret); problem != nil {
		l.report(at, "secret_file", problem.code, "%s: %s", name, problem.detail)
		return
	}
	l.node.Secret = secret
}

func joinPath(section, name string) string {
	if section == "" {
		return name
	}
	return section + "." + name
}
