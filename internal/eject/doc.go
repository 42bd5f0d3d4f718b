// Package eject decides how much work each backend server of a service gets, and which servers
// are set aside, that is, get none. The decision is a pure function of the known server records
// and the configured capacity floor, so nodes with the same records reach the same decision.
//
// Withdrawn, leaving and unreachable servers are set aside first, whatever the floor says. The
// ejections that hosts request are then granted in the order of the requests, until the next one
// would bring the healthy capacity below the floor. Servers whose ejection is held back by the
// floor keep a reduced share of the work, and so do servers whose ejection was requested less
// than SettleTime ago. A server keeps its reservation in the ejection budget during probation
// and until every node has learned of its return.
package eject
