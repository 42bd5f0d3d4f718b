// Package blackboard holds the control state of a node. One goroutine, started
// by Run, owns the Entries; controllers are functions that it runs in a fixed
// order, on every tick and after each batch of posted functions. After each
// batch that changed something, the board publishes an immutable fleet.View
// that traffic goroutines read without a lock.
package blackboard
