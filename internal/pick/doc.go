// Package pick chooses the node whose backend server is to run a request. Time
// and the random source are inputs; the package does no I/O.
//
// # Choice
//
// Each node beside a server reports its load and health with its answers and in
// beacons. Picker keeps the newest report of each node. The cost of a candidate, in
// units of one lost request, is
//
//	loss x failure probability + wait / objective + utilization + transfer
//
// loss is 1 for non-idempotent requests and IdempotentFailureCost for others, which
// can be retried elsewhere. The failure probability drifts to the usual share of
// failing servers as the report ages. wait is the expected time until a slot is
// free, computed from the report and the requests sent since. transfer is the cost
// of another data centre or region, which rises with the sizes of the request body
// and the answer. Where a free slot is needed, a request may still queue in its own
// data centre for as long as the transfer to another one is worth.
//
// The data centre of the candidate with the lowest cost gets the request.
//
// # Old reports
//
// Of the requests that a report shows, exp(-age / service time) still run. WaterFilling
// assumes that others have replaced the rest, by the mean utilization of the healthy
// servers of the data centre; LeastCost lets the load fade.
//
// Within the data centre, WaterFilling also accounts for the requests that other
// choosers send by the same reports until the next ones. These unseen arrivals, summed
// over the servers, fill the cheapest servers up to one level of cost, and the request
// goes to a server with room below the level, drawn in proportion to that room. Servers
// whose cost apart from load is clearly higher than that of the cheapest one take no
// part, since a refused hop costs less than a failure. With fresh reports the server of
// the lowest cost is chosen, with old ones the draw is in proportion to free slots.
// LeastCost takes the server of the lowest cost at any age.
//
// The estimate follows a burst only with the next reports. With reports older than a
// second, WaterFilling is little better than LeastCost.
//
// # Trials and exclusion
//
// A server that has failed is not chosen again while others have room, so nothing
// would show that it has recovered. A server that has not been used for a while is
// therefore cheaper for requests from its data centre that can be retried elsewhere,
// if its node still reports.
//
// A candidate that refused is excluded until the time that it named; one that
// cannot be reached is excluded for a backoff that doubles up to MaxBackoff, and for silentBackoff while
// nothing is heard of it by any path.
package pick
