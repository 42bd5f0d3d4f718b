package node

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/settings"
)

const (
	// readHeaderTimeout ends connections whose request header does not arrive.
	readHeaderTimeout = 10 * time.Second
	// readTimeout ends connections whose request body does not arrive.
	readTimeout = 60 * time.Second
	// idleTimeout ends kept connections without requests. It exceeds the idle
	// time of the clients in package forward, so that the client closes first.
	idleTimeout = 120 * time.Second
)

// listeners are the five listeners of a node.
type listeners struct {
	caller, traffic, control, attach, admin net.Listener
}

func listen(config settings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, one := range []struct {
		addr   string
		target *net.Listener
	}{
		{config.Caller, &l.caller},
		{config.Traffic, &l.traffic},
		{config.Control, &l.control},
		{config.Attach, &l.attach},
		{config.Admin, &l.admin},
	} {
		listener, err := net.Listen("tcp", one.addr)
		if err != nil {
			l.close()
			return nil, trace.Wrap(err, "listen on %s", one.addr)
		}
		*one.target = listener
	}
	return l, nil
}

// advertised returns the address that others are told.
func advertised(configured string, listener net.Listener) string {
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

func newServer(handler http.Handler, headerBytes int) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
}
