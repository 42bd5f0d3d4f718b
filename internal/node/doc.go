// Package node builds the process of one node out of its parts and runs it
// until it is told to stop.
package node
