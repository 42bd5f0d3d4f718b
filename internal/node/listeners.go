package node

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/settings"
)

// listeners holds the five listeners of a node.
type listeners struct {
	caller, traffic, control, attach, admin net.Listener
}

func listen(config settings.Listen, limits settings.Limits) (*listeners, error) {
	l := &listeners{}
	for _, spec := range []struct {
		addr   string
		target *net.Listener
		max    int
	}{
		{config.Caller, &l.caller, limits.CallerConnections},
		{config.Traffic, &l.traffic, limits.TrafficConnections},
		{config.Control, &l.control, limits.ControlConnections},
		{config.Attach, &l.attach, limits.AttachConnections},
		{config.Admin, &l.admin, limits.AdminConnections},
	} {
		listener, err := net.Listen("tcp", spec.addr)
		if err != nil {
			l.close()
			return nil, trace.Wrap(err, "listen on %s", spec.addr)
		}
		*spec.target = limit.Listener(listener, spec.max)
	}
	return l, nil
}

// advertisedAddr returns the configured address to advertise, or that of the
// listener if none is configured.
func advertisedAddr(configured string, listener net.Listener) string {
	if configured != "" {
		return configured
	}
	return listener.Addr().String()
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.traffic, l.control, l.attach, l.admin} {
		if listener != nil {
			listener.Close()
		}
	}
}

// newServer returns an HTTP server whose read and idle timeouts come from limits.
// writeTime bounds the response, counted from the end of the request header.
func newServer(handler http.Handler, limits settings.Limits, headerBytes int, writeTime time.Duration) *http.Server {
	return &http.Server{
		Handler:           limit.ResetOnAbort(handler),
		ConnContext:       limit.ConnContext,
		ReadHeaderTimeout: limits.HeaderTime,
		ReadTimeout:       limits.HeaderTime + limits.BodyTime,
		WriteTimeout:      writeTime,
		IdleTimeout:       limits.IdleTime,
		MaxHeaderBytes:    headerBytes,
	}
}
