package limit

import (
	"bytes"
	"testing"
	"testing/iotest"

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

func TestABodyShorterThanAnnouncedIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := NewMemory(100).NewReservation().Read(bytes.NewReader([]byte("abc")), 4, 10)
	g.Expect(err).To(HaveOccurred())
}
