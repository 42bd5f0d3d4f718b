// Package controller holds the controllers of a node, one per file. The control goroutine of
// package blackboard runs them. A controller reads and writes entries and never blocks.
package controller
