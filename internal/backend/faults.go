package backend

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

// Faults says how the server misbehaves. The zero value is a well server.
type Faults struct {
	// FailRatio is the share of requests that run and answer 500, from 0 to 1.
	FailRatio float64 `json:"fail_ratio"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// SlowRatio is the share of requests that SlowFactor applies to; 0 means all.
	SlowRatio float64 `json:"slow_ratio"`
	// Stall holds every request until its caller gives up.
	Stall bool `json:"stall"`
	// CutRatio is the share of requests that run and whose answer is cut.
	CutRatio float64 `json:"cut_ratio"`
	// DropRatio is the share of requests that run and whose connection is
	// closed without an answer.
	DropRatio float64 `json:"drop_ratio"`
	// WrongRatio is the share of answers that carry the ID of another request.
	WrongRatio float64 `json:"wrong_ratio"`
	// FlapMS turns the faults on and off with this period; 0 means always on.
	FlapMS int64 `json:"flap_ms"`
}

// faultBox holds the faults in force.
type faultBox struct {
	current atomic.Pointer[Faults]
	since   atomic.Int64
}

func (b *faultBox) set(f Faults) {
	b.since.Store(time.Now().UnixNano())
	b.current.Store(&f)
}

// get returns the faults in force now.
func (b *faultBox) get() Faults {
	f := b.current.Load()
	if f == nil {
		return Faults{}
	}
	if f.FlapMS > 0 {
		elapsed := (time.Now().UnixNano() - b.since.Load()) / int64(time.Millisecond)
		if (elapsed/f.FlapMS)%2 == 1 {
			return Faults{}
		}
	}
	return *f
}

func (b *faultBox) serve(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.set(f)
	w.WriteHeader(http.StatusNoContent)
}
