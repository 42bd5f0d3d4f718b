// Package controlcost runs the control plane of many nodes in one process and
// measures what it costs each of them and how fast changes spread. Each node is
// a board with the controllers for membership and configuration, a gossip
// service and a configuration syncer, over TCP on the loopback interface or
// over package memnet. The platform is one table in memory.
//
// Bytes are payload with length prefixes, sent plus received. Over memnet the
// processor time lacks the system calls. Latencies between data centres are not
// modelled; at most eight hops of 1.5 ms would be added.
package controlcost
