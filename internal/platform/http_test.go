package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/platform"
)

type served struct {
	memory *platform.Memory
	faults *platform.Faults
	client *platform.Client
	calls  atomic.Int64
}

func serve(t *testing.T, store func(*platform.Memory) platform.Store) *served {
	s := &served{memory: platform.NewMemory(), faults: platform.NewFaults()}
	handler := platform.NewHandler(store(s.memory), s.memory, s.faults)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.client = platform.NewClient(server.URL, platform.ClientOptions{Backoff: time.Millisecond, OpenInterval: 20 * time.Millisecond})
	return s
}

func unlimited(m *platform.Memory) platform.Store { return m }

// TestClientReadsWhatItWrites guards against differences between the HTTP
// protocol and the in-memory store in keys with slashes, versions, deletion,
// paging and conflicts.
func TestClientReadsWhatItWrites(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := serve(t, unlimited)
	var writes []platform.Write
	for i := range 2500 {
		key := "a/" + string(rune('a'+i/676)) + string(rune('a'+i/26%26)) + string(rune('a'+i%26))
		writes = append(writes, platform.Write{Key: key, Value: json.RawMessage("1")})
	}
	g.Expect(s.client.Transact(ctx, "t", []platform.Check{{Key: "a/aaa"}}, writes)).To(Succeed())
	g.Expect(s.client.Transact(ctx, "t", []platform.Check{{Key: "a/aaa"}}, writes)).To(MatchError(platform.ErrConflict))
	rows, err := s.client.Scan(ctx, "t", "a/", "a/aab", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(2498))
	row, err := s.client.Get(ctx, "t", "a/aaa")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeEquivalentTo(1))
	g.Expect(s.client.Transact(ctx, "t", nil, []platform.Write{{Key: "a/aaa"}})).To(Succeed())
	_, err = s.client.Get(ctx, "t", "a/aaa")
	g.Expect(err).To(MatchError(platform.ErrNotFound))

	version, err := s.client.PutObject(ctx, "dir/o 1", []byte("data"), 0)
	g.Expect(err).NotTo(HaveOccurred())
	object, err := s.client.GetObject(ctx, "dir/o 1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(object).To(Equal(platform.Object{Name: "dir/o 1", Version: version, Data: []byte("data")}))
}

// TestWriteIsNotRetriedAfterLostResponse guards against retrying a write that may have
// taken effect.
func TestWriteIsNotRetriedAfterLostResponse(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := serve(t, unlimited)
	s.faults.Set(platform.FaultSettings{DropAnswers: 1})
	err := s.client.Transact(ctx, "t", nil, []platform.Write{{Key: "k", Value: json.RawMessage("1")}})
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	g.Expect(errors.Is(err, platform.ErrNotSent)).To(BeFalse())
	row, err := s.client.Get(ctx, "t", "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeEquivalentTo(1), "the write ran more than once")
}

// TestOpenBreakerRefusesCalls guards against calls that wait for a store that
// is known to be down, and against a breaker that stays open after the store has
// recovered.
func TestOpenBreakerRefusesCalls(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := serve(t, unlimited)
	s.faults.Set(platform.FaultSettings{Down: true})
	for range 50 {
		_, err := s.client.Get(ctx, "t", "k")
		g.Expect(err).To(MatchError(platform.ErrUnavailable))
	}
	g.Expect(s.client.CircuitOpen()).To(BeTrue())
	g.Expect(s.calls.Load()).To(BeNumerically("<", 20))
	s.faults.Set(platform.FaultSettings{})
	g.Eventually(func() error {
		_, err := s.client.Get(ctx, "t", "k")
		return err
	}, 10*time.Second, 5*time.Millisecond).Should(MatchError(platform.ErrNotFound))
	g.Expect(s.client.CircuitOpen()).To(BeFalse())
}

// TestRateLimitRefusesBeforeEffect guards against a refused write that took
// effect, and against a refusal that a caller could mistake for a lost response.
func TestRateLimitRefusesBeforeEffect(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := serve(t, func(m *platform.Memory) platform.Store { return platform.NewRateLimited(m, m, 1, 1e6) })
	write := []platform.Write{{Key: "k", Value: json.RawMessage("1")}, {Key: "l", Value: json.RawMessage("1")}}
	g.Expect(s.client.Transact(ctx, "t", nil, write)).To(Succeed())
	err := s.client.Transact(ctx, "t", nil, write)
	g.Expect(err).To(MatchError(platform.ErrNotSent))
	g.Expect(s.client.CircuitOpen()).To(BeFalse())
	row, err := s.client.Get(ctx, "t", "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeEquivalentTo(1))
}
