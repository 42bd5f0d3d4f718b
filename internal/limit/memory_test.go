package limit

import (
	"bytes"
	"math"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// In any order of reads and releases, the memory in use never exceeds the limit, and is zero after
// all reservations are released.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(0, 64<<10).Draw(t, "limit"))
		memory := NewMemory(limit)
		reservations := []*Reservation{memory.NewReservation(), memory.NewReservation(), memory.NewReservation()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			r := reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "request")]
			if rapid.Bool().Draw(t, "release") {
				r.Release()
				continue
			}
			content := bytes.Repeat([]byte("x"), rapid.IntRange(0, 40<<10).Draw(t, "bytes"))
			length := int64(-1)
			if rapid.Bool().Draw(t, "announced") {
				length = int64(len(content))
			}
			bodyLimit := int64(rapid.IntRange(0, 40<<10).Draw(t, "limit of a body"))
			got, err := r.Read(iotest.HalfReader(bytes.NewReader(content)), length, bodyLimit)
			if err == nil && !bytes.Equal(got.Bytes(), content) {
				t.Fatalf("read %d of %d bytes", got.Len(), len(content))
			}
			if err == nil && int64(len(content)) > bodyLimit {
				t.Fatalf("read %d bytes, the limit of a body is %d", len(content), bodyLimit)
			}
			if memory.InUse() > limit {
				t.Fatalf("%d bytes in use, at most %d", memory.InUse(), limit)
			}
		}
		for _, r := range reservations {
			r.Release()
		}
		if memory.InUse() != 0 {
			t.Fatalf("%d bytes in use after all releases", memory.InUse())
		}
	})
}

// Guards against evictions of clients that make progress, of more than is needed, and of small requests
// while large ones have stalled.
func TestEvictionTakesTheLargestStalledClients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := NewMemory(1 << 30)
		start := time.Now()
		now := start
		memory.now = func() time.Time { return now }
		evicted := map[*Reservation]bool{}
		var all []*Reservation
		for range rapid.IntRange(1, 10).Draw(t, "clients") {
			r := memory.NewReservation()
			r.Reserve(int64(rapid.IntRange(1, 1000).Draw(t, "bytes")))
			now = start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "progress")) * time.Millisecond)
			r.await(receiveStall, func() { evicted[r] = true })
			all = append(all, r)
		}
		now = start.Add(2 * time.Second)
		need := int64(rapid.IntRange(1, 3000).Draw(t, "need"))
		enough := memory.EvictStalled(need, nil)
		freed, smallest := int64(0), int64(math.MaxInt64)
		for r := range evicted {
			freed += r.bytes
			smallest = min(smallest, r.bytes)
		}
		if enough != (freed >= need) {
			t.Fatalf("%d bytes of %d are freed, and the result is %v", freed, need, enough)
		}
		if freed-smallest >= need {
			t.Fatalf("%d bytes of %d are freed, one of %d too many", freed, need, smallest)
		}
		for _, r := range all {
			stalled := now.Sub(r.progressAt) >= receiveStall
			if evicted[r] && !stalled {
				t.Fatal("a client that made progress had to give way")
			}
			if !evicted[r] && stalled && (!enough || r.bytes > smallest) {
				t.Fatal("a stalled client was left out")
			}
		}
	})
}

func TestABodyShorterThanAnnouncedIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := NewMemory(100).NewReservation().Read(bytes.NewReader([]byte("abc")), 4, 10)
	g.Expect(err).To(HaveOccurred())
}
