// Package origin tells the calls that a backend server makes for its running
// requests from the requests of callers. Both arrive at the node beside the server
// and look alike. Time is an input; the package does no I/O.
//
// # Evidence
//
// A server that runs nothing makes no calls. A kind of request that arrives while
// the server is idle is therefore sent by callers, at a rate that does not depend on
// the server. Classifier counts, for each kind, the arrivals while the server is
// idle and while it runs something, and the time that it spends in both states since
// the first of them:
//
//	callers = idle arrivals / idle time x busy time
//	probability of a call = 1 - callers / busy arrivals
//
// Until a kind has minIdleArrivals, the probability is 1: too many calls are assumed
// rather than too few, since the retry budget counts them. That the server makes the
// requests is only certain once callers would have sent expectedIdleArrivals.
//
// # Limits
//
// A server may still make calls for a request that its node has given up, for as
// long as settleTime is assumed. Counts are halved every halfLife, so that a change of
// the traffic shows. At most maxKinds kinds are kept; others count as calls.
package origin
