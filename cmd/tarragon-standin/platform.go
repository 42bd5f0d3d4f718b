package main

import (
	"context"
	"fmt"
	"net"

	"github.com/tarragonford/tarragonford/internal/cli"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

// platformCommand serves the platform from memory until SIGTERM or SIGINT.
type platformCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:7600" description:"host:port to serve on"`
	Seed   string  `long:"seed" value-name:"FILE" description:"YAML file with the initial rows; docs/platform.md describes it"`
	Writes float64 `long:"writes-per-second" default:"500" description:"maximum rows written per second; calls above it are rejected"`
	Reads  float64 `long:"reads-per-second" default:"2000" description:"maximum get and scan calls per second; calls above it are rejected"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	memory := platform.NewMemory()
	if err := c.loadSeed(memory); err != nil {
		return err
	}
	limited := platform.NewRateLimited(memory, memory, c.Writes, c.Reads)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	fmt.Println("tarragon-standin: platform listening on", listener.Addr())
	return cli.ServeUntilSignal(listener, platform.NewHandler(limited, limited, platform.NewFaults()))
}

// loadSeed writes the rows of the seed file, if one is given.
func (c *platformCommand) loadSeed(memory *platform.Memory) error {
	if c.Seed == "" {
		return nil
	}
	file, err := seed.Load(c.Seed)
	if err != nil {
		return err
	}
	return seed.Apply(context.Background(), memory, file)
}
