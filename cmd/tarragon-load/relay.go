package main

import (
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/cli"
	"github.com/tarragonford/tarragonford/internal/relay"
)

// relayCommand holds the options of "tarragon-load relay".
type relayCommand struct {
	Listen  string        `long:"listen" required:"yes" value-name:"ADDR" description:"address to listen on"`
	Target  string        `long:"target" required:"yes" value-name:"ADDR" description:"address to forward connections to"`
	Control string        `long:"control" required:"yes" value-name:"ADDR" description:"HTTP address of POST /cut, /delay and /reset and GET /status"`
	Cut     string        `long:"cut" default:"none" description:"initially cut direction: forward, backward, both or none"`
	Delay   time.Duration `long:"delay" description:"initial delay of each direction"`
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	r, err := relay.New(c.Listen, c.Target)
	if err != nil {
		return trace.Wrap(err)
	}
	defer r.Close()
	if err := r.Cut(relay.Direction(c.Cut)); err != nil {
		return trace.Wrap(err)
	}
	r.SetDelay(c.Delay)
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf("tarragon-load: relay %s -> %s, control %s\n", r.Addr(), c.Target, control.Addr())
	return trace.Wrap(cli.ServeUntilSignal(control, r.Handler()))
}
