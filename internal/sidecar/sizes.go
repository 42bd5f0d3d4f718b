package sidecar

import "sync"

// sizeWeight is the weight of one answer in the mean size.
const sizeWeight = 1.0 / 16

// answerSizes keeps the mean size of the answers of each route.
type answerSizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// of returns the mean size in bytes; 0 before the first answer.
func (a *answerSizes) of(route string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.mean[route])
}

// observe takes the size of an answer.
func (a *answerSizes) observe(route string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, known := a.mean[route]
	if !known {
		a.mean[route] = float64(bytes)
		return
	}
	a.mean[route] = mean + sizeWeight*(float64(bytes)-mean)
}
