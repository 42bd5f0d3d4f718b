package sidecar

import (
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/pick"
)

const (
	// calledMemory is the time for which a service counts as called by the local server.
	calledMemory = 10 * time.Second
	// minWithRetriesLeft is the share of the servers of a called service that must have retries left
	// for a retry whose calls count as retries there. The others have given out what they had, and
	// calls can't be refused for the budget.
	minWithRetriesLeft = 0.5
)

// calledServices are the services that the local server has called lately.
type calledServices struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (c *calledServices) record(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = map[string]time.Time{}
	}
	c.at[service] = now
}

// haveRetriesLeft reports whether the retry budgets of all called services allow the calls of
// another retry.
func (c *calledServices) haveRetriesLeft(now time.Time, view *View, picker *pick.Picker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, at := range c.at {
		if now.Sub(at) > calledMemory {
			delete(c.at, service)
			continue
		}
		pool := view.Services[service]
		if pool != nil && picker.WithRetriesLeft(now, pool.Candidates) < minWithRetriesLeft {
			return false
		}
	}
	return true
}
