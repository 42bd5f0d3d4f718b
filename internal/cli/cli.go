package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const (
	// headerTimeout bounds the header of a request.
	headerTimeout = 10 * time.Second
	// stopLimit bounds the graceful stop of a server.
	stopLimit = 5 * time.Second
)

// Report prints the result of parsing and running a command line and returns
// the exit code. Help goes to the standard output.
func Report(program string, err error) int {
	if err == nil {
		return ExitOK
	}
	var flagsError *flags.Error
	if !errors.As(err, &flagsError) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return ExitFailure
	}
	if flagsError.Type == flags.ErrHelp {
		fmt.Println(flagsError.Message)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, flagsError.Message)
	return ExitUsage
}

// ServeUntilSignal serves until SIGTERM or SIGINT, then lets running requests
// end for up to 5 s.
func ServeUntilSignal(listener net.Listener, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	context.AfterFunc(ctx, func() {
		limit, cancelLimit := context.WithTimeout(context.Background(), stopLimit)
		defer cancelLimit()
		stopped <- server.Shutdown(limit)
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return trace.Wrap(<-stopped)
}
