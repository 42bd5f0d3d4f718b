// Package architecture has tests that enforce the rules of docs/design.md about
// dependencies between packages.
package architecture
