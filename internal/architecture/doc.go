// Package architecture holds tests of the rules between packages that
// docs/design.md sets.
package architecture
