package settings

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// valueType is the YAML type of a value, as diagnostics name it.
type valueType string

const (
	typeText    valueType = "text"
	typeInteger valueType = "a whole number"
	typeFloat   valueType = "a number"
	typeBool    valueType = "true or false"
	typeNull    valueType = "no value"
	typeList    valueType = "a list"
	typeMap     valueType = "a section"
	// typeFlag marks a value from the command line, which has no YAML type.
	typeFlag valueType = "text from a flag"
	// typeUnsupported marks an anchor, alias, tag or merge key.
	typeUnsupported valueType = "an unsupported feature of YAML"
)

// position is the location of a value in a file or a flag.
type position struct {
	source       string
	line, column int
}

// value is one parsed value with its position.
type value struct {
	typ   valueType
	text  string
	items []value
	at    position
}

func (v value) isScalarText() bool { return v.typ == typeText || v.typ == typeFlag }

// describe returns the value, or its type, as diagnostics show it.
func (v value) describe() string {
	switch v.typ {
	case typeInteger, typeFloat, typeBool:
		return v.text
	case typeText, typeFlag:
		return fmt.Sprintf("%q", v.text)
	}
	return string(v.typ)
}

func positionOf(source string, node ast.Node) position {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return position{source: source, line: 1, column: 1}
	}
	return position{source: source, line: token.Position.Line, column: token.Position.Column}
}

// valueOf converts a YAML node to a value. The items of a section are not
// converted, because the loader reads sections itself.
func valueOf(source string, node ast.Node) value {
	v := value{at: positionOf(source, node)}
	switch n := node.(type) {
	case *ast.StringNode:
		v.typ, v.text = typeText, n.Value
	case *ast.LiteralNode:
		v.typ, v.text = typeText, n.Value.Value
	case *ast.IntegerNode:
		v.typ, v.text = typeInteger, fmt.Sprint(n.Value)
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		v.typ, v.text = typeFloat, node.GetToken().Value
	case *ast.BoolNode:
		v.typ, v.text = typeBool, n.Token.Value
	case *ast.NullNode:
		v.typ = typeNull
	case *ast.SequenceNode:
		v.typ = typeList
		for _, item := range n.Values {
			v.items = append(v.items, valueOf(source, item))
		}
	case *ast.MappingNode, *ast.MappingValueNode:
		v.typ = typeMap
	default:
		v.typ = typeUnsupported
	}
	return v
}
