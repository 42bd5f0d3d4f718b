// Package settings loads and validates the YAML settings of a node. Parsing is
// strict: unknown and missing keys, durations and sizes without a unit, values
// out of range, and malformed or duplicate addresses are rejected. All errors of
// a file are reported together, each with its position, key and numbered result
// code.
//
// The schema in schema.go is the only list of keys: the parser, the command-line
// overrides and docs/configuration.md are derived from it.
package settings

//go:generate go run ../docgen -page configuration -out ../../docs/configuration.md
