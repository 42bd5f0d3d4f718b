package sidecar

import (
	"slices"
	"sync"
)

// maxAnnouncers bounds the nodes that are remembered as sources of a configuration.
const maxAnnouncers = 16

// announcers are the nodes of the own data centre that announced the newest configuration which this node
// lacks.
type announcers struct {
	mu      sync.Mutex
	version uint64
	addrs   []string
}

// add records that a node has a version of the configuration.
func (a *announcers) add(version uint64, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.version {
		a.version, a.addrs = version, nil
	}
	if version == a.version && len(a.addrs) < maxAnnouncers && !slices.Contains(a.addrs, addr) {
		a.addrs = append(a.addrs, addr)
	}
}

// pick returns a random node that announced the version or a newer one, or fallback if none did. random
// yields uniform numbers from 0 to 1.
func (a *announcers) pick(version uint64, fallback string, random func() float64) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version < version || len(a.addrs) == 0 {
		return fallback
	}
	return a.addrs[min(int(random()*float64(len(a.addrs))), len(a.addrs)-1)]
}
