// Package gate is the admission control of one backend server. It runs in the node
// beside the server and decides which requests the server gets, by the health that
// its latest results show, by its free slots, and by whether a request that has to
// wait can still be answered in time. Time is an input; the package does no I/O.
//
// # Health
//
// Servers fail most of their requests for a few seconds while their health checks
// pass, and one server sees only a few requests a second. HealthEstimate therefore
// keeps the probability that the server is in such a failure episode, as the state
// of a two-state hidden Markov model. Episodes begin and end at rates that are
// learned while the server runs, and each result is weighed by its likelihood in
// and out of an episode. Between results the probability drifts to the share of
// time that episodes take.
//
// A non-idempotent request runs only while the probability is below
// UnhealthyThreshold. Above it, the server gets one idempotent request at a time as
// a trial, like a half-open circuit breaker: an idempotent request can be sent to
// another server when it fails. A refused request has not reached the server, so it
// costs neither an attempt nor the retry budget.
//
// A server may also fail a request because a call that it made for this request
// failed elsewhere. The node beside the server sends these calls and sees their
// results, so it does not count a failure of the server right after a failed call
// as evidence about the server.
//
// # Retry budget
//
// In any window, the retries of a service are at most a share of its requests plus
// an allowance. Each server of the service gets an equal part of the allowance, and
// the requests and retries are counted at the server where they arrive, so no
// messages are needed. The parts are large enough to use because a service has few
// servers, and entries send retries to servers that have some left. Each call that a
// server makes counts as a fraction of a retry: the share of retries among the
// requests that the server is running.
//
// # Rate limit
//
// A server in need names, in its responses, the requests per second that it accepts
// from all nodes together. Since every request to it passes this gate, a token bucket
// here keeps the limit without messages, whatever happens to the store and to other
// nodes. The bucket begins empty and holds the requests of a short time. Requests that
// it does not admit yet wait like those for a slot. The limit ends with a response that
// names none, if its request was sent after the limit was named; other responses may
// have been overtaken. After a restart of the node, a server gets one request a second
// until its first response, since it may have named a rate to the process before.
// Reports carry the state of the bucket, so entries choose other
// servers meanwhile.
//
// # Slots
//
// A request runs if a slot is free and the rate limit admits it. Otherwise it may wait if its
// expected wait is at most its MaxWait. Waiting requests run by rank, and within a rank by the
// latency objective. Calls of running work have the first rank, then come the combined priorities of
// account and route. Reports count the waiting requests by rank, so that entries expect the wait that
// the gate will give. Requests that are no calls are passed by the calls that arrive while they wait: their
// expected wait is divided by the share of the server that calls leave.
//
// flows keeps a floor by deficit round robin (Shreedhar and Varghese, 1995): whenever a run starts,
// the waiting flows share floorShare of its service time as credit, and a flow whose credit pays for a
// run of its kind goes next. In a full queue a request takes the place of one that runs after it, or
// one of the kind that has most places if its own kind has none.
//
// Limits: service times of a kind are averages, so the floor holds up to a few runs, and it holds for
// requests that reach the gate; entries refuse by the expected wait of the rank before that. The
// service time of a server that has had no calls yet is that of all its requests.
//
// Every refusal means that the request has not run and will not run here.
package gate
