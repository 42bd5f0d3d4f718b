// Package permit lets an entry node know that a request whose hop was lost has not run.
//
// The entry sends a non-idempotent request to a host with a Permit that stays with the entry. The host
// queues the request, and asks for the permit over the same stream when it is about to send the request
// to its server. The entry answers once. It may withdraw the permit at any time, and then the host
// never gets it: the request may be sent to another host. Once the permit is granted, the
// request counts as run unless the host says otherwise. The host that gets no permit in time refuses
// the request and reads nothing more from the stream.
//
// # Limits
//
// The state is at the entry alone, for as long as the hop lasts, and is lost with the request when the
// entry ends. A permit that is granted and lost on its way leaves the outcome unknown, though the
// request does not run. Each hop costs one more round trip and two small frames.
package permit
