// Package route decides which backend server takes a request, whether a
// retry or hedge is allowed and when a read is hedged. The time and the random
// source are parameters; the package does no I/O.
//
// # Choice
//
// Choose applies the power of two choices: it draws two servers with
// probability proportional to their effective slots and takes the one with the
// lower utilisation, which is
//
//	(own outstanding + others x discount) / effective slots
//
// where others is the load beyond this entry's own requests that the host
// reported with its last answer, and discount is 1/(1 + age/ReportHalfLife).
// Effective slots are slots x warmth, so that the load of a cold server ramps up,
// and a quarter of that for standing Reduced. Weighted draws distribute requests
// by capacity when nothing is outstanding; comparing the utilisation does so
// under load.
//
// The data centre of the entry is the first tier, the other data centres of
// its region the second, other regions the third. If the utilisation of the
// chosen server is SpilloverUtilisation or more, a second pair is drawn from the
// tier. A request spills over to the next tier only if both choices are utilised
// that much and the choice of the next tier has a utilisation lower by at least
// the penalty of that tier.
//
// A server on probation gets ProbationShare of the requests that its slots
// would give it, only idempotent ones and one at a time for each entry. Servers on
// probation, and for idempotent requests servers behind a broken path, are
// otherwise chosen only if no other server is left. Servers that are set aside
// are never chosen.
//
// # Subsets and connections
//
// Within a tier, an entry ranks hosts by rendezvous hashing of (entry, host),
// so that the same hosts come first for every service, and uses the first
//
//	size = share x ConnLimit x servers in tier / entries in tier
//
// routable servers, at least 2 and at most 16 of them. The shares of the
// limit are 0.1, 0.05 and 0.03. Entries in the tier are the nodes of the data
// centre, of the region, and all nodes. Reduced servers that rank before the
// last one chosen are included and do not count towards the size. Servers
// attached to the entry itself come first. When every server of the subsets is
// excluded, the full set is used.
//
// The mean number of entries that may address a server, its fan-in, is
// entries x size / servers, summed over the tiers. A service has 20 servers,
// here in the four data centres of one of the two regions, and the lower
// limit of 350 connections applies:
//
//	500 entries, 71 per data centre, 284 in the region, 214 outside:
//	  own data centre  size 0.1x350x5/71        = 2:  71 x 2/5  =  28
//	  region           size 0.05x350x15/284 = 0, so 2: 213 x 2/15 =  28
//	  other region     size 0.03x350x20/500 = 0, so 2: 214 x 2/20 =  21
//	  total 77 of 350; all entries to all servers would be 500.
//
//	5,300 entries, 757 per data centre, 3,029 in the region, 2,271 outside:
//	  own data centre  size 0, so 2:   757 x 2/5  = 303
//	  region           size 0, so 2: 2,272 x 2/15 = 303
//	  other region     size 0, so 2: 2,271 x 2/20 = 227
//	  total 833; all to all would be 5,300.
//
// Power of two choices needs at least two servers, so at 5,300 entries the fan-in
// of a server exceeds 350 when all tiers are used. There, the request rate keeps
// the open connections below the limit: a server gets 33,000/5,300 = 6.2
// requests/s, each opening at most one connection that idles for at most
// ConnIdleTimeout, so 6.2/s x 30 s = 187 are open. Callers of this package must
// close connections that idle longer. The connections to the backend server
// itself all come from its host, which opens no more than the server has slots.
//
// # Attempts
//
// Budget bounds retries and hedges of one service. Accumulated attempts decay
// with time, so that an entry with little traffic sends few extra attempts at
// the onset of an overload. A reserve of one attempt, which does not decay and
// is used at most every 2 s, serves services with few requests at each entry.
// Hedges leave half of the accumulated attempts to retries, because near
// saturation a retry saves a request that would fail, while a hedge only reduces
// the latency of one. Hedge estimates the p95 latency of the service.
//
// # Limits
//
// An entry learns the load of a server only from the server's answers. At
// 5,300 entries an entry sends a service 0.02 requests/s, so its reports are
// always old and the choice is close to a weighted random one.
package route
