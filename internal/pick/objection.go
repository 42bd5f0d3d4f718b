package pick

// Objection is the reason why a candidate is not considered for a request.
type Objection int

// Reasons.
const (
	NoObjection Objection = iota
	// Tried: the request was there before.
	Tried
	// Excluded: the node was unreachable or closed, and its backoff has not ended.
	Excluded
	// Closed: the node reports that it accepts no requests.
	Closed
	// NoRetriesLeft: the retry budget of the server is used up.
	NoRetriesLeft
	// Stopping: the node stops before the deadline of the request.
	Stopping
	// Unhealthy: the server is probably in a failure episode, and the request is no trial.
	Unhealthy
	// NoRoom: the expected wait is longer than the request may wait.
	NoRoom
)

// String returns the reason in words.
func (o Objection) String() string {
	return [...]string{"", "tried", "excluded", "closed", "no retries left", "stopping", "unhealthy", "no room"}[o]
}
