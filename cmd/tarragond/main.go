// Command tarragond runs one node of the proxy fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
	"github.com/tarragonford/tarragonford/internal/cli"
	"github.com/tarragonford/tarragonford/internal/node"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

func main() {
	var overrides settings.Overrides
	if _, err := flags.NewParser(&overrides, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		os.Exit(cli.Report("tarragond", err))
	}
	switch {
	case overrides.Version:
		fmt.Println("tarragond", buildinfo.Version())
		return
	case overrides.CheckConfig:
		os.Exit(overrides.Check(os.Stdout))
	}
	config, err := overrides.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cli.ExitUsage)
	}
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, "tarragond:", err)
		os.Exit(cli.ExitFailure)
	}
}

// run runs the node until SIGTERM or SIGINT, which starts a graceful shutdown. A
// second signal stops the process immediately.
func run(config settings.Node) error {
	tuneMemory()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t, err := telemetry.New(ctx, config, buildinfo.Version())
	if err != nil {
		return err
	}
	defer t.Shutdown(context.Background())
	n, err := node.New(config, t)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		cancel()
	}()
	return n.Run(ctx, stop)
}
