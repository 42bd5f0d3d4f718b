package main

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

	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

// platformStopLimit bounds the graceful stop of the platform stand-in.
const platformStopLimit = 5 * time.Second

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
	limited := platform.NewLimited(memory, memory, c.Writes, c.Reads)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	fmt.Println("tarragon-standin: platform listens on", listener.Addr())
	return serveUntilSignal(listener, platform.NewHandler(limited, limited, platform.NewFaults()))
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

func serveUntilSignal(listener net.Listener, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		limit, cancelLimit := context.WithTimeout(context.Background(), platformStopLimit)
		defer cancelLimit()
		stopped <- server.Shutdown(limit)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
