// Package settings reads the YAML settings of a node strictly: unknown keys,
// numbers without a unit, values out of range, addresses that are malformed or
// clash, and missing keys are refused. All faults of a file are reported in one
// go, each with its position, key and numbered result code.
//
// The table of keys in schema.go is the only list of keys: the parser, the
// command line and docs/configuration.md come from it.
package settings

//go:generate go run ../docgen -page configuration -out ../../docs/configuration.md
