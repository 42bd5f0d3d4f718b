package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/tarragonford/tarragonford/internal/backend"
)

// serverCommand serves one backend server until SIGTERM or SIGINT, then drains.
type serverCommand struct {
	ID          string        `long:"id" required:"yes" description:"ID of the server"`
	Service     string        `long:"service" required:"yes" description:"name of the service"`
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"host:port to serve on"`
	Advertise   string        `long:"advertise" description:"host:port to announce, if it differs from --listen"`
	Node        string        `long:"node" required:"yes" description:"attach address of the host node"`
	Slots       int           `long:"slots" default:"6" description:"maximum concurrent requests"`
	ConnLimit   int           `long:"conn-limit" default:"350" description:"maximum connections"`
	ServiceTime time.Duration `long:"service-time" default:"10ms" description:"mean service time of a request"`
	Sigma       float64       `long:"sigma" default:"0.3" description:"standard deviation of the logarithm of the service time"`
	WarmUp      time.Duration `long:"warm-up" default:"0s" description:"duration of the warm-up after the start"`
	ProbeTime   time.Duration `long:"probe-time" default:"25ms" description:"service time of a health probe"`
	Record      string        `long:"record" value-name:"FILE" description:"append a JSON line for each request run to this file"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the service times and faults"`
	DrainLimit  time.Duration `long:"drain-limit" default:"30s" description:"maximum time to wait for running requests"`
}

// Execute implements flags.Commander.
func (c *serverCommand) Execute([]string) error {
	server, err := backend.New(backend.Options{
		ID: c.ID, Service: c.Service, Listen: c.Listen, Advertise: c.Advertise, NodeAddr: c.Node,
		Slots: c.Slots, ConnLimit: c.ConnLimit,
		ServiceTime: c.ServiceTime, Sigma: c.Sigma, WarmUp: c.WarmUp, ProbeTime: c.ProbeTime,
		RecordFile: c.Record, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	fmt.Println("tarragon-standin: server", c.ID, "announces to node at", c.Node)
	return server.Serve(ctx, c.DrainLimit)
}
