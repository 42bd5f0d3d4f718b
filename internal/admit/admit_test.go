package admit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/codes"
)

var start = time.Unix(1000, 0)

// queueModel wraps a queue and tracks the state of each request.
type queueModel struct {
	queue   *admit.Queue
	started map[any]bool
	refused map[any]bool
	waiting map[any]*admit.Waiter
}

func newQueueModel(slots int, factor float64) *queueModel {
	m := &queueModel{started: map[any]bool{}, refused: map[any]bool{}, waiting: map[any]*admit.Waiter{}}
	m.queue = admit.NewQueue(slots, factor, func(w *admit.Waiter, err *codes.Error) {
		delete(m.waiting, w.Value)
		if err != nil {
			m.refused[w.Value] = true
			return
		}
		m.started[w.Value] = true
	})
	return m
}

func (m *queueModel) offer(now time.Time, id any, account string, weight float64, deadline time.Time) {
	started, err := m.queue.TryStart(now, deadline)
	if started {
		m.started[id] = true
		return
	}
	if err == nil {
		var w *admit.Waiter
		if w, err = m.queue.Enqueue(now, account, weight, deadline, id); err == nil {
			m.waiting[id] = w
			return
		}
	}
	m.refused[id] = true
}

// TestQueueInvariants guards against more running requests than slots, a queue
// above its capacity, a cancelled request that stays in the queue, a refused
// request that runs, and a request that waits while a slot is free.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := newQueueModel(slots, 1.5)
		now, finished, id := start, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "finish", "cancel"}).Draw(t, "step") {
			case "offer":
				id++
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				deadline := now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(t, "deadline")) * time.Millisecond)
				m.offer(now, id, account, rapid.Float64Range(0.1, 4).Draw(t, "weight"), deadline)
			case "finish":
				if m.queue.Running() > 0 {
					finished++
					m.queue.Finish(now, 40*time.Millisecond)
				}
			case "cancel":
				for waiting, w := range m.waiting {
					delete(m.waiting, waiting)
					if !m.queue.Cancel(w) || m.queue.Cancel(w) {
						t.Fatal("a queued request was not cancelled exactly once")
					}
					break
				}
			}
			m.check(t, slots, finished)
		}
	})
}

func (m *queueModel) check(t *rapid.T, slots, finished int) {
	running, queued := m.queue.Running(), m.queue.Queued()
	if running > slots || running != len(m.started)-finished {
		t.Fatalf("%d running of %d slots, %d started, %d finished", running, slots, len(m.started), finished)
	}
	if queued != len(m.waiting) || queued > max(2*slots, 1) {
		t.Fatalf("%d queued, want %d, %d slots", queued, len(m.waiting), slots)
	}
	if queued > 0 && running < slots {
		t.Fatalf("%d queued while %d of %d slots are in use", queued, running, slots)
	}
	for id := range m.refused {
		if m.started[id] {
			t.Fatalf("request %v was refused and ran", id)
		}
	}
}

// TestFairShareUnderFlood guards against an account that takes the share of
// others by sending more requests, for equal and unequal weights.
func TestFairShareUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.SampledFrom([]float64{0.1, 0.5, 1, 2}).Draw(t, "weight of the small account")
		flood := rapid.IntRange(3, 20).Draw(t, "flood")
		m, now := newQueueModel(6, 1), start
		served := map[string]int{}
		seen := map[any]bool{}
		for round := range 600 {
			now = now.Add(10 * time.Millisecond)
			for i := range flood {
				m.offer(now, fmt.Sprintf("big-%d-%d", round, i), "big", 1, now.Add(time.Hour))
			}
			m.offer(now, fmt.Sprintf("small-%d-0", round), "small", weight, now.Add(time.Hour))
			if m.queue.Running() == 6 {
				m.queue.Finish(now, 0)
			}
			for id := range m.started {
				if !seen[id] {
					seen[id] = true
					served[id.(string)[:3]]++
				}
			}
			clear(m.started)
		}
		share := float64(served["sma"]) / float64(served["sma"]+served["big"])
		if fair := weight / (1 + weight); share < 0.85*fair {
			t.Fatalf("small account got %.3f, fair share %.3f, flood %d", share, fair, flood)
		}
	})
}

// TestLowestTagRunsFirst guards against a request that waits behind all earlier
// requests of another account.
func TestLowestTagRunsFirst(t *testing.T) {
	m, far := newQueueModel(1, 5), start.Add(time.Hour)
	for i := range 5 {
		m.offer(start, i, "big", 1, far)
	}
	m.offer(start, "small", "small", 1, far)
	m.queue.Finish(start, 0)
	m.queue.Finish(start, 0)
	if !m.started["small"] {
		t.Errorf("started %v", m.started)
	}
}

// TestRefusalWhenDeadlineDoesNotFit guards against queueing a request that cannot
// complete before its deadline, and against refusing all requests after a slow
// outlier.
func TestRefusalWhenDeadlineDoesNotFit(t *testing.T) {
	m := newQueueModel(1, 4)
	m.offer(start, "outlier", "a", 1, start.Add(time.Hour))
	m.queue.Finish(start, time.Second)
	m.offer(start, "runs", "a", 1, start.Add(50*time.Millisecond))
	m.offer(start, "fits", "a", 1, start.Add(2100*time.Millisecond))
	m.offer(start, "late", "a", 1, start.Add(2100*time.Millisecond))
	if !m.started["runs"] || m.waiting["fits"] == nil || !m.refused["late"] {
		t.Errorf("started %v, refused %v", m.started, m.refused)
	}
}

// TestAdmitterUnderConcurrency guards against more running requests than slots
// and against leaked slots or queue entries when waits end by cancellation,
// deadline, refusal and start at the same time.
func TestAdmitterUnderConcurrency(t *testing.T) {
	const slots = 4
	a := admit.New(slots, 2, nil)
	var running, most atomic.Int64
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range 100 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+(i+k)%5)*100*time.Microsecond)
				permit, err := a.Admit(ctx, fmt.Sprint(i%7), 1, time.Now().Add(time.Duration(1+k%3)*time.Millisecond))
				if err == nil {
					if n := running.Add(1); n > most.Load() {
						most.Store(n)
					}
					time.Sleep(20 * time.Microsecond)
					running.Add(-1)
					permit.Release(20 * time.Microsecond)
				}
				cancel()
			}
		}()
	}
	wg.Wait()
	if most.Load() > slots || a.Running() != 0 || a.Queued() != 0 {
		t.Errorf("at most %d running; at the end %d running, %d queued", most.Load(), a.Running(), a.Queued())
	}
}

// TestCloseRefusesAndDrains guards against new or queued requests that start at a
// leaving server, and against Drained closing before running requests have ended.
func TestCloseRefusesAndDrains(t *testing.T) {
	a := admit.New(1, 1, nil)
	far := time.Now().Add(time.Hour)
	permit, err := a.Admit(context.Background(), "a", 1, far)
	if err != nil {
		t.Fatal(err)
	}
	waited := make(chan error, 1)
	go func() {
		_, err := a.Admit(context.Background(), "a", 1, far)
		waited <- err
	}()
	for a.Queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	a.Close()
	leaving := codes.Leaving.New("")
	if err := <-waited; !errors.Is(err, leaving) {
		t.Errorf("queued request ended with %v", err)
	}
	if _, err := a.Admit(context.Background(), "a", 1, far); !errors.Is(err, leaving) {
		t.Errorf("new request ended with %v", err)
	}
	select {
	case <-a.Drained():
		t.Error("drained while a request is running")
	default:
	}
	permit.Release(time.Millisecond)
	<-a.Drained()
}

// TestCancelledWaitFreesItsPlace guards against a request that stays in the queue
// after its caller cancelled, and checks the code of the refusal.
func TestCancelledWaitFreesItsPlace(t *testing.T) {
	a := admit.New(1, 1, nil)
	far := time.Now().Add(time.Hour)
	if _, err := a.Admit(context.Background(), "a", 1, far); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 {
		if _, err := a.Admit(ctx, "a", 1, far); !errors.Is(err, codes.DeadlinePassed.New("")) || a.Queued() != 0 {
			t.Errorf("cancelled wait ended with %v, %d queued", err, a.Queued())
		}
	}
}

// TestAccountLimiterBounds guards against an account that exceeds its rate, a
// limit that affects other accounts, and a table that grows without bound.
func TestAccountLimiterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 500).Draw(t, "rate")
		seconds := rapid.IntRange(1, 20).Draw(t, "seconds")
		l, passed := admit.NewAccountLimiter(128), 0
		for i := range seconds * 1000 {
			if l.Allow(start.Add(time.Duration(i)*time.Millisecond), "flood", rate) == nil {
				passed++
			}
		}
		limit := rate*float64(seconds) + max(rate*admit.BurstSeconds, 1) + 1
		if float64(passed) > limit || float64(passed) < 0.8*min(rate, 1000)*float64(seconds)-1 {
			t.Fatalf("%d passed in %d s at %g/s", passed, seconds, rate)
		}
		for i := range 1000 {
			if err := l.Allow(start, fmt.Sprint("account-", i), rate); err != nil {
				t.Fatal(err)
			}
		}
		if l.Accounts() > 128 {
			t.Fatalf("%d accounts tracked", l.Accounts())
		}
	})
}

// Guards against a change of the configured queue factor that applies only to
// servers attached later.
func TestQueueFactorChangesAtOnce(t *testing.T) {
	q := admit.NewQueue(1, 1, func(*admit.Waiter, *codes.Error) {})
	now := time.Unix(0, 0)
	deadline := now.Add(time.Hour)
	if started, err := q.TryStart(now, deadline); !started || err != nil {
		t.Fatalf("a request was not started in the free slot: %v", err)
	}
	q.SetFactor(3)
	for n := range 3 {
		if _, err := q.Enqueue(now, "a", 1, deadline, nil); err != nil {
			t.Fatalf("queued request %d of 3 was refused: %v", n+1, err)
		}
	}
	if _, err := q.Enqueue(now, "a", 1, deadline, nil); err == nil {
		t.Fatal("a fourth request was queued")
	}
}
