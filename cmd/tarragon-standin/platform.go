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
	Seed   string  `long:"seed" value-name:"FILE" description:"YAML file with the first rows; docs/platform.md describes it"`
	Writes float64 `long:"writes-per-second" default:"500" description:"rows written per second before calls are refused"`
	Reads  float64 `long:"reads-per-second" default:"2000" description:"get and scan calls per second before calls are refused"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	memory := platform.NewMemory()
	if err := c.fill(memory); err != nil {
		return err
	}
	limited := platform.NewRateLimited(memory, memory, c.Writes, c.Reads)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	fmt.Println("tarragon-standin: platform listens on", listener.Addr())
	return cli.ServeUntilSignal(listener, platform.NewHandler(limited, limited, platform.NewFaults()))
}

func (c *platformCommand) fill(memory *platform.Memory) error {
	if c.Seed == "" {
		return nil
	}
	file, err := seed.Load(c.Seed)
	if err != nil {
		return err
	}
	return seed.Apply(context.Background(), memory, file)
}
