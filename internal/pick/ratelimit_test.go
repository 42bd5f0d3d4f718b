package pick

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// rateLimited is an idle server that accepts one request each interval and has tokens left.
func rateLimited(interval time.Duration, tokens float64) gate.Load {
	load := healthy(0)
	load.RateInterval, load.RateTokens = interval, tokens
	return load
}

// Guards against requests for an idle server that gets as many as it accepts, while another one has
// room.
func TestAServerAtItsRateLimitIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start, "near", rateLimited(2*time.Second, 1.5))
	p.Report(start, "far", healthy(0))
	g.Expect(chosen(p, Query{})).To(Equal("near"), "one request is admitted")
	g.Expect(chosen(p, Query{})).To(Equal("far"), "that request has been sent")
	g.Expect(chosen(p, Query{MaxWait: 4 * time.Second})).To(Equal("far"), "even if it may wait")
}

// Guards against a limited server that gets less than it accepts because its report is not brought
// up to date.
func TestTokensOfAReportGrowWithItsAge(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start.Add(-time.Second), "near", rateLimited(time.Second, 0.2))
	p.MarkUnreachable(start, "far")
	g.Expect(chosen(p, Query{})).To(Equal("near"))
}

// Guards against requests that are kept although all servers say that they accept none in time.
func TestRateLimitedForIsTheShortestCertainWait(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start, "near", rateLimited(4*time.Second, 0))
	g.Expect(p.RateLimitedFor(start, nodes, 1)).To(BeZero(), "the other node has not reported")
	load := rateLimited(time.Second, 0)
	load.Waiting[1] = 2
	p.Report(start, "far", load)
	g.Expect(p.RateLimitedFor(start, nodes, 1)).To(Equal(3*time.Second), "two requests wait before it")
	g.Expect(p.RateLimitedFor(start, nodes, 0)).To(Equal(time.Second), "more urgent than those that wait")
	p.Report(start, "far", gate.Load{})
	g.Expect(p.RateLimitedFor(start, nodes, 1)).To(Equal(4*time.Second), "a closed server does not count")
	p.Report(start, "far", healthy(6))
	g.Expect(p.RateLimitedFor(start, nodes, 1)).To(BeZero(), "a full server may have room sooner than expected")
}

// Guards against hops without end to an unhealthy server at its rate limit: a trial cannot wait there,
// so its node refuses each.
func TestAnUnhealthyServerIsTriedOnlyWhenItsRateAdmitsARequest(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	load := rateLimited(time.Second, 0.8)
	load.FailureProbability = 0.9
	p.Report(start, "near", load)
	p.MarkUnreachable(start, "far")
	g.Expect(chosen(p, Query{Idempotent: true, MaxWait: time.Second})).To(BeEmpty())
	load.RateTokens = 1
	p.Report(start, "near", load)
	g.Expect(chosen(p, Query{Idempotent: true, MaxWait: time.Second})).To(Equal("near"))
}
