package entry

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/route"
)

// routerBalancer implements Balancer with a route.Router.
type routerBalancer struct{ router *route.Router }

// NewBalancer returns a Balancer backed by router.
func NewBalancer(router *route.Router) Balancer { return &routerBalancer{router} }

// globalSource is the global generator of math/rand/v2, which is safe for
// concurrent use and keeps its state per thread.
type globalSource struct{}

// Uint64 implements route.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// Choose implements Balancer.
func (b *routerBalancer) Choose(now time.Time, view *fleet.View, r *forward.Request, tried []string) (*fleet.Candidate, bool) {
	return b.router.Choose(globalSource{}, now, view, route.Query{
		Service:    r.Service,
		Idempotent: r.Idempotent,
		Exclude:    tried,
	})
}

// AttemptStarted implements Balancer.
func (b *routerBalancer) AttemptStarted(server string) { b.router.Loads().Server(server).Begin() }

// AttemptFinished implements Balancer.
func (b *routerBalancer) AttemptFinished(server string, slots int, reply *forward.Reply, now time.Time) {
	load := b.router.Loads().Server(server)
	load.End()
	if reply.HasLoad {
		load.Report(now, reply.Load.Running, reply.Load.Queued)
		return
	}
	if reply.Err != nil && reply.Err.Code.Outcome == codes.Unknown {
		load.ReportFailure(now, slots)
	}
}

// RecordRequest implements Balancer.
func (b *routerBalancer) RecordRequest(service fleet.Service, now time.Time) {
	b.router.Budget(service.Name).RecordRequest(now, service.RetryRatio)
}

// AllowRetry implements Balancer.
func (b *routerBalancer) AllowRetry(service fleet.Service, now time.Time) bool {
	return b.router.Budget(service.Name).TakeRetry(now)
}

// AllowHedge implements Balancer.
func (b *routerBalancer) AllowHedge(service fleet.Service, now time.Time) bool {
	return b.router.Budget(service.Name).TakeHedge(now)
}

// HedgeDelay implements Balancer.
func (b *routerBalancer) HedgeDelay(service fleet.Service) (time.Duration, bool) {
	return b.router.Hedge(service.Name).Delay()
}

// Prune implements Balancer.
func (b *routerBalancer) Prune(view *fleet.View) {
	known := map[string]bool{}
	for _, service := range view.Services {
		for i := range service.Candidates {
			known[service.Candidates[i].Server.ID] = true
		}
	}
	b.router.Loads().Prune(func(id string) bool { return known[id] })
}

// RecordLatency implements Balancer.
func (b *routerBalancer) RecordLatency(service fleet.Service, latency time.Duration) {
	b.router.Hedge(service.Name).Observe(latency)
}
