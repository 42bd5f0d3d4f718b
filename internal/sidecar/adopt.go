package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// statusTimeout bounds a status request to the local server, which waits for a slot like any other
	// request.
	statusTimeout = 500 * time.Millisecond
	// statusTries bounds the status requests after a start, and statusPause is the time between two. By
	// the end of them the server has reported, unless it is in trouble.
	statusTries = 4
	statusPause = 250 * time.Millisecond
)

// adoptServer brings the local server of a restarted node into use before its next report, which may
// take seconds: the server's status names its ID. It waits until the departures that earlier processes
// acknowledged are known, since a server that has left may still answer.
func (n *Node) adoptServer(ctx context.Context) {
	for tries := 0; tries < statusTries && ctx.Err() == nil; {
		view := n.control.View()
		if view.Server.ID != "" {
			return
		}
		if view.Config == nil || !n.departures.complete() {
			sleep(ctx, drainPollInterval)
			continue
		}
		path := view.Config.Services[n.settings.Service].HealthPath
		if path == "" {
			return
		}
		tries++
		id, slots, err := n.serverStatus(ctx, path)
		if err != nil {
			n.log.Info("server status", zap.Int("try", tries), zap.Error(err))
			sleep(ctx, statusPause)
			continue
		}
		n.control.pending <- func(s *state) {
			if s.registry.Adopt(time.Now(), id, n.settings.ServerAddr, slots) {
				n.log.Info("server adopted before its report", zap.String("server", id), zap.Int("slots", slots))
			}
		}
		return
	}
}

// serverStatus asks the local server for its ID and its slots.
func (n *Node) serverStatus(ctx context.Context, path string) (id string, slots int, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.ServerAddr+path, nil)
	if err != nil {
		return "", 0, trace.Wrap(err)
	}
	response, err := n.status.Do(request)
	if err != nil {
		return "", 0, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", 0, fmt.Errorf("the server answers its status request with %d", response.StatusCode)
	}
	id, slots, ok := n.deps.Headers.ServerStatus(response.Header)
	if !ok {
		return "", 0, fmt.Errorf("the status of the server names no ID or no slots")
	}
	return id, slots, nil
}
