package sidecar

import "sync"

// sizeWeight is the weight of a new response in the moving average of sizes.
const sizeWeight = 1.0 / 16

// responseSizes keeps a moving average of the response sizes of each route.
type responseSizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// meanOf returns the mean size in bytes; 0 before the first response.
func (a *responseSizes) meanOf(route string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.mean[route])
}

// observe records the size of a response.
func (a *responseSizes) observe(route string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, known := a.mean[route]
	if !known {
		a.mean[route] = float64(bytes)
		return
	}
	a.mean[route] = mean + sizeWeight*(float64(bytes)-mean)
}
