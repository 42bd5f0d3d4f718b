package admit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// BenchmarkAdmitRelease measures Admit and Release at an idle server.
func BenchmarkAdmitRelease(b *testing.B) {
	a := admit.New(6, 1, nil)
	ctx, deadline := context.Background(), time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		permit, err := a.Admit(ctx, "account", 1, deadline)
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(time.Millisecond)
	}
}

// BenchmarkQueueFlooded measures starting or queueing a request, and finishing
// one, at a full server with 1,000 accounts.
func BenchmarkQueueFlooded(b *testing.B) {
	queue := admit.NewQueue(6, 1, func(*admit.Waiter, *codes.Error) {})
	accounts := accountNames(1000)
	deadline := start.Add(time.Hour)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		if ok, _ := queue.TryStart(start, deadline); !ok {
			queue.Enqueue(start, accounts[i%len(accounts)], 1, deadline, nil)
		}
		if i++; i%2 == 0 && queue.Running() == 6 {
			queue.Finish(start, time.Millisecond)
		}
	}
}

// BenchmarkAccountLimiter measures Allow with 48,000 tracked accounts.
func BenchmarkAccountLimiter(b *testing.B) {
	accounts := accountNames(48000)
	l := admit.NewAccountLimiter(0)
	for _, account := range accounts {
		if err := l.Allow(start, account, 100); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			now := start.Add(time.Duration(i) * time.Microsecond)
			_ = l.Allow(now, accounts[i*7919%len(accounts)], 1e9)
		}
	})
}

func accountNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("account-%05d", i)
	}
	return names
}
