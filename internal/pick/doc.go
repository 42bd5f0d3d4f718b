// Package pick chooses the node whose backend server is to run a request. Time
// and the random source are inputs; the package does no I/O.
//
// # Choice
//
// Each node beside a server reports its load and health with its answers and in
// beacons. Pick keeps the newest report of each and takes the candidate of the
// lowest cost, in units of one lost request:
//
//	loss x doubt + wait / objective + use + way
//
// loss is 1 for non-idempotent requests and LossIfRepeatable for others, which
// can run again elsewhere. doubt drifts to the usual share of failing servers as
// the report ages. wait is the expected time until a slot is free, counted from
// the report and the requests sent since. way is the price of another data centre
// or region, which rises with the sizes of body and answer. A request that looks
// for a free slot may queue in its own data centre as long as the way is worth.
//
// A server that has failed is chosen no more while others have room, so nothing
// would show that it is sound again. A server without a result for a while is
// therefore cheaper for a request of its data centre that can run again elsewhere.
//
// A candidate that refused is left out until the time that it named; one that
// cannot be reached is left out for a pause that doubles up to MaxPause.
package pick
