package limit

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose handler is wrapped by ResetOnAbort.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ResetOnAbort resets the connection when next panics, as with http.ErrAbortHandler. After an
// orderly close, a truncated answer without a length would look complete to an HTTP/1.0 client, and
// the kernel would keep the unread data for a client that does not read.
func ResetOnAbort(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				reset(r.Context())
				panic(cause)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func reset(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(interface{ SetLinger(int) error }); ok {
		// If SetLinger fails, the connection is closed in an orderly way.
		_ = conn.SetLinger(0)
	}
}
