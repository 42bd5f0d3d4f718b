package relay

import "sync"

// gate blocks one direction of all connections while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// set opens or closes the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case open && !g.isOpen():
		close(g.open)
	case !open && g.isOpen():
		g.open = make(chan struct{})
	}
}

func (g *gate) isOpen() bool {
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

// wait returns true once the gate is open, or false when done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-done:
		return false
	}
}
