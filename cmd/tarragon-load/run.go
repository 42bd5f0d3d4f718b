package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/loadgen"
	"github.com/tarragonford/tarragonford/internal/report"
)

// runCommand holds the options of "tarragon-load run". Flags that are given
// override the values of the mix file, but the target flags cannot be combined
// with a mix file.
type runCommand struct {
	Entries     []string       `long:"entry" required:"yes" value-name:"ADDR" description:"entry address, host:port; may be repeated"`
	Mix         string         `long:"mix" value-name:"FILE" description:"YAML file with the mix; docs/load.md describes it"`
	Seed        *uint64        `long:"seed" description:"seed of arrival times and random choices (default 1)"`
	Rate        *float64       `long:"rate" description:"mean arrivals per second (default 100)"`
	Duration    *time.Duration `long:"duration" description:"duration of the load (default 10s)"`
	Deadline    *time.Duration `long:"deadline" description:"deadline of each request (default 2s)"`
	Connections *int           `long:"connections" description:"connections to each entry address (default 64)"`
	Repeats     *int           `long:"repeats" description:"maximum repeats of a keyed request (default 5)"`
	Accounts    []string       `long:"account" value-name:"ID" description:"client account; may be repeated"`
	Target      targetFlags    `group:"Target"`
	RunID       string         `long:"run-id" description:"prefix of every token (default random)"`
	JSON        string         `long:"json" value-name:"FILE" description:"write the report to this file"`
	CSV         string         `long:"csv" value-name:"FILE" description:"write every attempt to this file"`
}

// defaultPath equals the default of the flag --path.
const defaultPath = "/"

// targetFlags describe the single target of a run without a mix file.
type targetFlags struct {
	Service  string  `long:"service" description:"name of the service, for keys issued by nodes"`
	Host     string  `long:"host" description:"Host header (default: the entry address)"`
	Path     string  `long:"path" default:"/" description:"path of the requests"`
	Writes   float64 `long:"writes" description:"share of non-idempotent writes, 0 to 1"`
	Keyed    float64 `long:"keyed" description:"share of writes with an idempotency key, 0 to 1"`
	NodeKeys float64 `long:"node-keys" description:"share of keys that a node issues, 0 to 1"`
	Padding  int     `long:"padding" description:"bytes of padding to request in each answer"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	mix, err := c.mix()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	summary, err := c.run(ctx, mix)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.writeJSON(summary); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(summary.WriteText(os.Stdout))
}

func (c *runCommand) run(ctx context.Context, mix loadgen.Mix) (report.Summary, error) {
	options := loadgen.Options{Entries: c.Entries, RunID: c.RunID}
	if c.CSV == "" {
		return loadgen.Run(ctx, mix, options)
	}
	file, err := os.Create(c.CSV)
	if err != nil {
		return report.Summary{}, trace.ConvertSystemError(err)
	}
	defer file.Close()
	options.CSV = io.Writer(file)
	summary, err := loadgen.Run(ctx, mix, options)
	if err != nil {
		return summary, trace.Wrap(err)
	}
	return summary, trace.ConvertSystemError(file.Close())
}

func (c *runCommand) mix() (loadgen.Mix, error) {
	mix, err := loadgen.DefaultMix(), error(nil)
	switch {
	case c.Mix != "" && c.Target != (targetFlags{Path: defaultPath}):
		return mix, trace.BadParameter("--mix cannot be combined with the target flags")
	case c.Mix != "":
		mix, err = loadgen.LoadMix(c.Mix)
	default:
		mix.Targets = []loadgen.Target{{Service: c.Target.Service, Host: c.Target.Host, Path: c.Target.Path,
			Writes: c.Target.Writes, Keyed: c.Target.Keyed, NodeKeys: c.Target.NodeKeys, Padding: c.Target.Padding}}
	}
	override(&mix.Seed, c.Seed)
	override(&mix.Rate, c.Rate)
	override(&mix.Duration, c.Duration)
	override(&mix.Deadline, c.Deadline)
	override(&mix.Connections, c.Connections)
	override(&mix.MaxRetries, c.Repeats)
	if len(c.Accounts) > 0 {
		mix.Accounts = c.Accounts
	}
	return mix, trace.Wrap(err)
}

// override sets target to the value of a flag, if the flag was given.
func override[T any](target *T, flag *T) {
	if flag != nil {
		*target = *flag
	}
}

func (c *runCommand) writeJSON(summary report.Summary) error {
	if c.JSON == "" {
		return nil
	}
	file, err := os.Create(c.JSON)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := summary.WriteJSON(file); err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(file.Close())
}
