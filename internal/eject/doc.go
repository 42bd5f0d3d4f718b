// Package eject decides which backend servers of a service are set aside. The
// decision is a pure function of the known server records and the configured
// floor, so nodes with the same records take the same decision.
//
// Planned withdrawals and leaving servers count first. Then the ejections that
// hosts ask for are granted in the order of asking, until the next one would
// bring healthy capacity below the floor. The servers whose ejection is held
// keep a reduced share of the work, and so do those whose ejection was asked
// for less than SettleTime ago. A server keeps its place during probation and
// until every node has heard of its return.
package eject
