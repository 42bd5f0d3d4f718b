package backend

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

// Faults are the failures that the server injects. The zero value injects none.
type Faults struct {
	// FailRatio is the share of requests that run and end with status 500, from 0 to 1.
	FailRatio float64 `json:"fail_ratio"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// SlowRatio is the share of requests that SlowFactor applies to; 0 means all.
	SlowRatio float64 `json:"slow_ratio"`
	// Stall blocks every request until it is cancelled or its deadline has passed.
	Stall bool `json:"stall"`
	// CutRatio is the share of requests that run and whose response body breaks off half-way.
	CutRatio float64 `json:"cut_ratio"`
	// DropRatio is the share of requests that run and whose connection is closed without a response.
	DropRatio float64 `json:"drop_ratio"`
	// WrongRatio is the share of responses that carry another request ID than that of the request.
	WrongRatio float64 `json:"wrong_ratio"`
	// FlapMS is the number of milliseconds after which the faults are switched off, and on again after
	// as many; 0 means always on.
	FlapMS int64 `json:"flap_ms"`
}

// faultState holds the configured faults and the time at which they were set.
type faultState struct {
	current atomic.Pointer[Faults]
	setAt   atomic.Int64
}

func (s *faultState) set(f Faults) {
	s.setAt.Store(time.Now().UnixNano())
	s.current.Store(&f)
}

// inForce returns the faults to inject now; none in the off phase of FlapMS.
func (s *faultState) inForce() Faults {
	f := s.current.Load()
	if f == nil {
		return Faults{}
	}
	if f.FlapMS > 0 {
		elapsed := (time.Now().UnixNano() - s.setAt.Load()) / int64(time.Millisecond)
		if (elapsed/f.FlapMS)%2 == 1 {
			return Faults{}
		}
	}
	return *f
}

// serve handles POST /-/faults.
func (s *faultState) serve(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(f)
	w.WriteHeader(http.StatusNoContent)
}
