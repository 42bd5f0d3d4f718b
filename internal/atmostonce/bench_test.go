package atmostonce_test

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/forward"
)

var benchLimits = atmostonce.Limits{Entries: 10_000_000, Bytes: 1 << 34, Retention: 30 * time.Minute}

// fill records finished requests with a response body of the given size.
func fill(b *testing.B, ledger *atmostonce.Ledger, first, count, body int) {
	for i := first; i < first+count; i++ {
		// A real ID has 26 characters and the number of the attempt.
		claim, _, err := ledger.Begin(context.Background(), "r/00000000000000"+strconv.Itoa(10_000_000+i)+"/1", 7, time.Time{})
		if err != nil {
			b.Fatal(err)
		}
		if err := claim.Dispatch(); err != nil {
			b.Fatal(err)
		}
		claim.Finish(&forward.Reply{Response: &forward.Response{Status: 200, Body: make([]byte, body)}})
	}
}

// BenchmarkBeginFinish measures one request, by the number of records already in the ledger.
func BenchmarkBeginFinish(b *testing.B) {
	for _, records := range []int{1_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			ledger := atmostonce.NewLedger(benchLimits, atmostonce.NewClock())
			fill(b, ledger, 0, records, 200)
			next := records
			b.ReportAllocs()
			for b.Loop() {
				fill(b, ledger, next, 1, 200)
				next++
			}
		})
	}
}

// BenchmarkSweep measures one sweep of a ledger in which no record has expired.
func BenchmarkSweep(b *testing.B) {
	for _, records := range []int{1_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			ledger := atmostonce.NewLedger(benchLimits, atmostonce.NewClock())
			fill(b, ledger, 0, records, 200)
			for b.Loop() {
				ledger.Sweep()
			}
		})
	}
}

// BenchmarkLedgerMemory reports the heap memory of a ledger per record, including a body of 200
// bytes, and the size that the ledger itself counts.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, records := range []int{1_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			var ledger *atmostonce.Ledger
			before := heapInUse()
			for b.Loop() {
				ledger = atmostonce.NewLedger(benchLimits, atmostonce.NewClock())
				fill(b, ledger, 0, records, 200)
			}
			b.ReportMetric((heapInUse()-before)/float64(records), "heap-B/record")
			b.ReportMetric(float64(ledger.Bytes())/float64(records), "counted-B/record")
			runtime.KeepAlive(ledger)
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
