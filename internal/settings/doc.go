// Package settings reads the YAML settings of a node.
package settings
