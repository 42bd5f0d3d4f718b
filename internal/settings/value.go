package settings

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// form is the YAML type of a value.
type form string

const (
	formText    form = "text"
	formInteger form = "a whole number"
	formFloat   form = "a number"
	formBool    form = "true or false"
	formNull    form = "no value"
	formList    form = "a list"
	formMap     form = "a section"
	// formFlag marks a value of the command line, which has no YAML type.
	formFlag form = "text of a flag"
	// formUnsupported marks an anchor, alias, tag or merge key.
	formUnsupported form = "an unsupported feature of YAML"
)

// position says where a value was found.
type position struct {
	source       string
	line, column int
}

// value is one value of the settings with its position.
type value struct {
	form  form
	text  string
	items []value
	at    position
}

func (v value) isScalarText() bool { return v.form == formText || v.form == formFlag }

// describe names the value for a message.
func (v value) describe() string {
	switch v.form {
	case formInteger, formFloat, formBool:
		return v.text
	case formText, formFlag:
		return fmt.Sprintf("%q", v.text)
	}
	return string(v.form)
}

func positionOf(source string, node ast.Node) position {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return position{source: source, line: 1, column: 1}
	}
	return position{source: source, line: token.Position.Line, column: token.Position.Column}
}

// valueOf converts a YAML node. Sections are walked by the loader and have no
// items here.
func valueOf(source string, node ast.Node) value {
	v := value{at: positionOf(source, node)}
	switch n := node.(type) {
	case *ast.StringNode:
		v.form, v.text = formText, n.Value
	case *ast.LiteralNode:
		v.form, v.text = formText, n.Value.Value
	case *ast.IntegerNode:
		v.form, v.text = formInteger, fmt.Sprint(n.Value)
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		v.form, v.text = formFloat, node.GetToken().Value
	case *ast.BoolNode:
		v.form, v.text = formBool, n.Token.Value
	case *ast.NullNode:
		v.form = formNull
	case *ast.SequenceNode:
		v.form = formList
		for _, item := range n.Values {
			v.items = append(v.items, valueOf(source, item))
		}
	case *ast.MappingNode, *ast.MappingValueNode:
		v.form = formMap
	default:
		v.form = formUnsupported
	}
	return v
}
