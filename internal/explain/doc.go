// Package explain reconstructs the path of one request from the logs of several
// nodes: its hops, with the load report that the entry node had of each server when
// it chose it, the decisions of the host nodes, and the events that led to the result.
//
// # Algorithm
//
// The lines that name the request are selected first. Added to them are the lines
// that may explain its outcome: the last trust change of the server on each node of
// its path, the rate limits of those servers (for a refused request, of all servers
// of its service), a call made by that server that failed shortly before the request did,
// and the stops, lost dependencies and configuration changes of the nodes on its path
// within EventWindow before it.
//
// # Limits
//
// Nodes timestamp lines with their own clocks, so the order of lines from different
// nodes is only as accurate as those clocks. Lines that a node has suppressed or
// dropped are missing; Log.Incomplete reports that. Logs are read whole into memory.
package explain
