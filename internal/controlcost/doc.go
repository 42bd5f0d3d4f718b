// Package controlcost runs the control plane of many nodes in one process and
// measures its cost for each node and how fast changes propagate. Each node has the
// controllers for membership and configuration with their shared state, a gossip
// service and a configuration syncer. The nodes communicate over TCP on the loopback
// interface or over package memnet. The platform is one table in memory.
//
// Bytes are payload with length prefixes, sent plus received. Over memnet, CPU time
// does not include system calls. Latencies between data centres are not modelled;
// they would add at most eight hops of 1.5 ms.
package controlcost
