// Package controller holds the controllers of a node, one file each. A controller
// is run by the control goroutine of package blackboard; it reads and writes
// entries and never blocks.
package controller
