package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// admitter hands out the slots of one backend server.
type admitter interface {
	Admit(ctx context.Context, account string, weight float64, deadline time.Time) (permit, error)
	Running() int
	Queued() int
}

type permit interface {
	Release(latency time.Duration)
}

// slots admits up to a fixed number of requests, without a bounded queue.
type slots struct {
	free   chan struct{}
	queued atomic.Int64
}

func newSlots(count int) *slots { return &slots{free: make(chan struct{}, count)} }

// Admit implements admitter.
func (s *slots) Admit(ctx context.Context, _ string, _ float64, deadline time.Time) (permit, error) {
	s.queued.Add(1)
	defer s.queued.Add(-1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s.free <- struct{}{}:
		return s, nil
	case <-ctx.Done():
		return nil, codes.Overloaded.New("the caller left the queue")
	case <-timer.C:
		return nil, codes.DeadlinePassed.New("no slot within the deadline")
	}
}

// Release implements permit.
func (s *slots) Release(time.Duration) { <-s.free }

// Running implements admitter.
func (s *slots) Running() int { return len(s.free) }

// Queued implements admitter.
func (s *slots) Queued() int { return int(s.queued.Load()) }
