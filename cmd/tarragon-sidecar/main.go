// Command tarragon-sidecar is a node of the proxy fleet on a platform that gives
// each backend server one node beside it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
	"github.com/tarragonford/tarragonford/internal/cli"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/sidecar"
	"github.com/tarragonford/tarragonford/internal/telemetry"
	"github.com/tarragonford/tarragonford/platform"
)

// logLines bounds the log lines that wait for the standard output.
const logLines = 4096

// options are the flags of the command.
type options struct {
	Config      string `long:"config" description:"settings file; default: the one that the platform names"`
	CheckConfig bool   `long:"check-config" description:"check the settings file and exit"`
	LogLevel    string `long:"log-level" description:"debug, info, warn or error" default:"info"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		os.Exit(cli.Report("tarragon-sidecar", err))
	}
	if o.Version {
		fmt.Println("tarragon-sidecar", buildinfo.Version())
		return
	}
	if o.Config == "" {
		o.Config = platform.SettingsPath()
	}
	config, err := platform.LoadSettings(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tarragon-sidecar:", err)
		os.Exit(cli.ExitUsage)
	}
	if o.CheckConfig {
		fmt.Println("the settings are complete")
		return
	}
	if err := run(config, o); err != nil {
		fmt.Fprintln(os.Stderr, "tarragon-sidecar:", err)
		os.Exit(cli.ExitFailure)
	}
}

// run serves until SIGTERM or SIGINT.
func run(config sidecar.Settings, o options) error {
	out := telemetry.NewAsyncWriter(os.Stdout, logLines)
	defer out.Close()
	t, err := telemetry.NewTo(context.Background(), settings.Node{
		ID: config.Node, Region: config.Region, DataCentre: config.DataCentre,
		Telemetry: settings.Telemetry{LogFormat: "json", LogLevel: o.LogLevel},
	}, buildinfo.Version(), out)
	if err != nil {
		return err
	}
	node := sidecar.New(platform.Parts(config, platform.NewStore(config.StoreAddr), t))
	return node.Run(stopSignal(t.Log))
}

// stopSignal returns a channel that is closed at the first SIGTERM or SIGINT.
// SIGHUP announces changed settings; none of those in use can change while the
// process runs.
func stopSignal(log *zap.Logger) <-chan struct{} {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				close(stop)
				return
			}
			log.Info("reload", zap.String("signal", received.String()))
		}
	}()
	return stop
}
