package limit

import (
	"bytes"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// In any order of reads and releases, what is held is what the requests hold, and
// never beyond the limit.
func TestAnswersStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(0, 64<<10).Draw(t, "limit"))
		q := NewBodyMemory(limit)
		holds := []*Reservation{q.NewReservation(), q.NewReservation(), q.NewReservation()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "request")]
			if rapid.Bool().Draw(t, "release") {
				h.Release()
				continue
			}
			sent := bytes.Repeat([]byte("x"), rapid.IntRange(0, 40<<10).Draw(t, "bytes"))
			length := int64(-1)
			if rapid.Bool().Draw(t, "announced") {
				length = int64(len(sent))
			}
			bodyLimit := int64(rapid.IntRange(0, 40<<10).Draw(t, "limit of a body"))
			got, err := h.Read(iotest.HalfReader(bytes.NewReader(sent)), length, bodyLimit)
			if err == nil && !bytes.Equal(got, sent) {
				t.Fatalf("read %d of %d bytes", len(got), len(sent))
			}
			if err == nil && int64(len(sent)) > bodyLimit {
				t.Fatalf("read %d bytes, at most %d", len(sent), bodyLimit)
			}
			if q.InUse() > limit {
				t.Fatalf("%d bytes are held of %d", q.InUse(), limit)
			}
		}
		for _, h := range holds {
			h.Release()
		}
		if q.InUse() != 0 {
			t.Fatalf("%d bytes are left behind", q.InUse())
		}
	})
}

func TestAShortBodyIsNoWholeOne(t *testing.T) {
	g := NewWithT(t)
	_, err := NewBodyMemory(100).NewReservation().Read(bytes.NewReader([]byte("abc")), 4, 10)
	g.Expect(err).To(HaveOccurred())
}
