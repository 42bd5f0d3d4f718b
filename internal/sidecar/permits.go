package sidecar

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tarragonford/tarragonford/internal/permit"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// headerPermit marks a hop whose host must ask for a permit before it runs the request. The length of
// the body is then one byte more than that of the request.
const headerPermit = "T-Permit"

// askStatus is the informational status with which a host asks for the permit.
const askStatus = http.StatusProcessing

// permitAge is the age of the report of a node from which non-idempotent requests are sent there with a
// permit. A node that lives and is not cut off sends beacons more often. To other nodes a permit costs a round trip and
// seldom saves a request.
const permitAge = refreshInterval

// needsPermit reports whether a hop by the given choice needs a permit.
func needsPermit(idempotent bool, choice pick.Choice) bool {
	return !idempotent && (!choice.Known || choice.Age >= permitAge)
}

// errNotPermitted reports a hop that ended before the host was permitted to run the request: it has not
// run there and will not.
var errNotPermitted = errors.New("the node did not ask to run the request")

// splitPermit separates the body of a hop from the permit that follows it. The returned function asks
// for the permit; it is nil if the hop needs none.
func splitPermit(w http.ResponseWriter, r *http.Request) (ask func() bool) {
	if r.Header.Get(headerPermit) == "" || r.ContentLength < 1 {
		return nil
	}
	stream := r.Body
	r.ContentLength--
	r.Body = io.NopCloser(io.LimitReader(stream, r.ContentLength))
	return func() bool {
		control := http.NewResponseController(w)
		// Without support for deadlines the wait ends with the stream.
		_ = control.SetReadDeadline(time.Now().Add(permit.GrantWithin))
		w.WriteHeader(askStatus)
		return permit.Receive(stream)
	}
}
