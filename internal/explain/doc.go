// Package explain reads the log lines of several nodes and tells the way of one
// request: its hops with what was known of each server when it was chosen, what
// the hosts decided, and what led to it.
//
// # Algorithm
//
// The lines that name the request come first. Beside them stand the lines that
// bear on its outcome: the last change of trust in each server that it met, a
// failed call of that server shortly before its failure, and the stops, lost
// dependencies and configurations of the nodes on its way up to Before it.
//
// # Limits
//
// Nodes stamp lines with their own clocks, so the order of lines of different
// nodes is only as good as those. Lines that a node has left out are missing; the
// result tells so. Logs are read whole into memory.
package explain
