// Package comeback suggests when a refused caller should return. Time and the random
// source are inputs; the package does no I/O.
//
// # Model
//
// A caller returns at most about expectedReturns times, waits as told for at most a
// third of the time that it has left, and gains the full worth of an answer until its
// latency objective. Two loads call for different delays:
//
//   - Servers refuse a share of what arrives with room free. The chance of each return is
//     the same whenever it comes, and rises once the episode ends, which may take longer
//     than the caller has. All returns in time for the objective are worth the same, so
//     they are spread over the time in which an answer can still be in time.
//   - The service is full. A return before room is expected meets the same queue and takes
//     the place of others, so the expected wait is the lower bound.
//
// After returns at a constant spacing d, with chance p for each while the episode lasts
// (exponentially distributed with mean L), the request is still refused with
// probability
//
//	prod over i of 1 - (p + (1 - p) (1 - exp(-i d / L)))
//
// which falls with d. So d is as large as the objective allows.
//
// # Spread
//
// Callers that are refused at the same moment must not return at the same moment. The
// delay is uniform in a range of jitter around its mean; in a full service, from the
// expected wait upwards.
//
// # Limits
//
// The number of returns is an assumption; a caller that returns less often loses nothing by it. Callers
// that do not return at all gain nothing from any delay.
package comeback
