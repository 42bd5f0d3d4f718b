// Package blackboard holds the control state of a node. One goroutine, the control goroutine
// started by Run, owns the Entries. On every tick it runs the controllers in a fixed order;
// between ticks it runs batches of posted functions. After each tick or batch that changed
// something, the board publishes an immutable fleet.View that traffic goroutines read without a
// lock.
package blackboard
