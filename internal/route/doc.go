// Package route decides which backend server takes a request, whether a
// further attempt is allowed and when a read is hedged. Time and the random
// source are inputs; the package does no I/O.
//
// # Choice
//
// Choose draws two servers with probability proportional to their effective
// slots and takes the one that is less used. Use is
//
//	(own outstanding + others x discount) / effective slots
//
// where others is what the host reported beyond this entry's own requests
// with its last answer, and discount is 1/(1 + age/ReportHalfLife). Effective
// slots are slots x warmth, so that a cold server starts slowly, and a quarter
// of that for standing Reduced. Weighted draws keep the shares right when
// nothing is outstanding; comparing the use keeps them right under load.
//
// The data centre of the entry is the first tier, the other data centres of
// its region the second, other regions the third. If the chosen server is used
// to SpillUse or more, a second pair is drawn from the tier. The tier is left
// only if both choices are used that much and the next tier's is less used by
// at least the penalty of that tier.
//
// A server on probation takes ProbationShare of what its slots would give it,
// of idempotent requests only and one at a time for each entry. Servers on
// probation, and for idempotent requests servers behind a broken path, are
// otherwise taken only if no other server is left. Servers that are set aside
// are never taken.
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
// last one taken are included and use no place. Servers attached to the entry
// itself come first. When every server of the subsets is excluded, the full
// set is used.
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
// Two servers are the least from which a choice can be made, so at 5,300
// entries the fan-in of a server exceeds 350 when all tiers are used. What
// keeps open connections below the limit there is the request rate: a server
// gets 33,000/5,300 = 6.2 requests/s, each opening at most one connection that
// idles for at most ConnIdle, so 6.2/s x 30 s = 187 are open. The callers of
// this package must close connections that idle longer. The connections that
// the backend server itself sees all come from its host, which opens no more
// than it has slots.
//
// # Attempts
//
// Budget bounds retries and hedges of one service. Saved attempts fade with
// time, so that an entry that has sent little has little to send at the onset
// of an overload. A reserve of one attempt, which does not fade and is used at
// most every 2 s, serves services with few requests at each entry. Hedges leave
// half of the saved attempts to retries, because near saturation a retry serves
// a request that would fail, and a hedge only speeds one up. Hedge tracks the
// p95 of the service.
//
// # Limits
//
// An entry learns the load of a server only from the server's answers. At
// 5,300 entries an entry sends a service 0.02 requests/s, reports are always
// old, and the choice is close to a weighted random one.
package route
