package sidecar

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/registration"
)

// rateLimitScale converts requests per second to the unit of the metric.
const rateLimitScale = 1000

// processNotice applies what the server says about itself in its response to a request. An unreadable
// rate leaves the previous one in force.
func (h *host) processNotice(now time.Time, server registration.Server, ticket *gate.Ticket, request string, notice ServerNotice) {
	switch {
	case notice.Err != nil:
		h.log.Warn("invalid rate limit", zap.String("server", server.ID), zap.String("request", request), zap.Error(notice.Err))
	case notice.RateLimited:
		h.gate.LimitRate(now, ticket, notice.RateLimit)
	default:
		h.gate.LiftRate(now, ticket)
	}
	h.logRateLimit(server, request)
	if notice.Leaving && !h.control.View().Server.Leaving {
		h.log.Info("server announces its departure", zap.String("server", server.ID), zap.String("request", request))
		h.onLeaving(server.Incarnation)
	}
}

// logRateLimit logs a change of the rate limit in force. request is empty if no response caused it: a
// new incarnation has no limit, or, after a restart of the node, a provisional one.
func (h *host) logRateLimit(server registration.Server, request string) {
	perSecond := h.gate.RateLimit()
	if bits := math.Float64bits(perSecond); h.loggedRate.Swap(bits) == bits {
		return
	}
	h.telemetry.Metrics.ServerRateLimit.Set(int64(perSecond * rateLimitScale))
	h.log.Info("server rate limit", zap.String("server", server.ID), zap.String("request", request),
		zap.Bool("limited", perSecond > 0), zap.Float64("per_second", perSecond))
}
