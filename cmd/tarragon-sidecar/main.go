// Command tarragon-sidecar runs a node of the proxy fleet as a sidecar, on a
// platform that pairs each backend server with one node.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/buildinfo"
	"github.com/tarragonford/tarragonford/internal/cli"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/sidecar"
	"github.com/tarragonford/tarragonford/internal/telemetry"
	"github.com/tarragonford/tarragonford/platform"
)

// program is the command name in messages and logs.
const program = "tarragon-sidecar"

// logQueueLines limits the log lines that wait to be written to standard output.
const logQueueLines = 4096

// logLinesPerSecond limits the log lines of each kind. At 66 requests a second,
// the peak of a node at the design size, no line is omitted.
const logLinesPerSecond = 150

// signalQueue is the number of signals that may wait while the process starts.
const signalQueue = 4

// options are the flags of the command.
type options struct {
	Config      string        `long:"config" description:"settings file (default: the path given by the platform)"`
	CheckConfig bool          `long:"check-config" description:"check the settings file and the flags, and exit"`
	LogLevel    string        `long:"log-level" description:"debug, info, warn or error" default:"info"`
	RateBurst   time.Duration `long:"rate-burst" description:"time whose share of the rate that the server accepts may be sent at once, up to 2s (default: 500ms)"`
	Version     bool          `long:"version" description:"print the version and exit"`
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddCommand("explain", "Tell where a request would go now, without sending it",
		"Ask the running node where a request would go now, and why. Nothing is sent.", &explainCommand{options: &o}); err != nil {
		panic(err)
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(cli.Report(program, err))
	}
	if parser.Active != nil {
		return
	}
	if o.Version {
		fmt.Println(program, buildinfo.Version())
		return
	}
	// Before anything that takes time: the default action of SIGHUP ends the process.
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	if o.Config == "" {
		o.Config = platform.SettingsPath()
	}
	config, err := platform.LoadSettings(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(cli.ExitUsage)
	}
	config.RateBurst = o.RateBurst
	if err := config.Check(); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(cli.ExitUsage)
	}
	if o.CheckConfig {
		fmt.Println("the settings are valid")
		return
	}
	if err := run(config, o, signals); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(cli.ExitFailure)
	}
}

// run runs the node until SIGTERM or SIGINT.
func run(config sidecar.Settings, o options, signals <-chan os.Signal) error {
	out := telemetry.NewAsyncWriter(os.Stdout, logQueueLines)
	defer out.Close()
	t, err := telemetry.NewForProcess(context.Background(),
		telemetry.Process{Name: program, Version: buildinfo.Version(), Log: out, LinesPerSecond: logLinesPerSecond},
		settings.Node{
			ID: config.Node, Region: config.Region, DataCentre: config.DataCentre,
			Telemetry: settings.Telemetry{LogFormat: "json", LogLevel: o.LogLevel},
		})
	if err != nil {
		return err
	}
	if limit := config.RuntimeMemory(); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
	node := sidecar.New(platform.NodeDependencies(config, platform.NewStore(config.StoreAddr), t))
	return node.Run(stopSignal(signals, t.Log, config, o.Config))
}

// stopSignal returns a channel that receives a value on the first SIGTERM or
// SIGINT. On SIGHUP it checks the settings file for changes.
func stopSignal(signals <-chan os.Signal, log *zap.Logger, config sidecar.Settings, path string) <-chan struct{} {
	stop := make(chan struct{}, 1)
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				select {
				case stop <- struct{}{}:
				default:
					log.Info("asked to stop again")
				}
				continue
			}
			reportReload(log, config, path)
		}
	}()
	return stop
}

// reportReload logs whether the settings file differs from the settings in force.
// Addresses and the retry budget are fixed while the process runs, so a change
// takes effect at the next start.
func reportReload(log *zap.Logger, config sidecar.Settings, path string) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		log.Warn("reload", zap.String("outcome", "the settings file is invalid; the current settings stay in force"), zap.Error(err))
		return
	}
	// FirstStart does not apply to a running process, so a difference is ignored.
	next.FirstStart = config.FirstStart
	// RateBurst is a flag.
	next.RateBurst = config.RateBurst
	log.Info("reload", zap.Bool("changed_for_next_start", next != config))
}
