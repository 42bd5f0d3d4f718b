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

// Exit codes of the command-line tools.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const (
	// headerTimeout is the timeout for reading a request header.
	headerTimeout = 10 * time.Second
	// shutdownTimeout is the timeout of a graceful server shutdown.
	shutdownTimeout = 5 * time.Second
)

// Report prints the error, if any, from parsing or running a command line and
// returns the exit code. Requested help goes to standard output, errors to
// standard error.
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

// ServeUntilSignal serves until SIGTERM or SIGINT, then shuts down gracefully:
// requests in progress have up to 5 s to finish.
func ServeUntilSignal(listener net.Listener, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	shutdownErr := make(chan error, 1)
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancelShutdown()
		shutdownErr <- server.Shutdown(shutdownCtx)
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return trace.Wrap(<-shutdownErr)
}
