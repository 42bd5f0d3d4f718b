package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tarragonford/tarragonford/api"
)

const (
	announceInterval = time.Second
	// leavingAnnounceInterval is shorter than announceInterval, so that a server stops soon after it
	// has drained.
	leavingAnnounceInterval = 200 * time.Millisecond
	announceTimeout         = 800 * time.Millisecond
)

// runAnnouncements announces the server periodically until stop is closed.
func (s *Server) runAnnouncements(addr string, stop <-chan struct{}) {
	client := &http.Client{Timeout: announceTimeout}
	ticker := time.NewTicker(leavingAnnounceInterval)
	defer ticker.Stop()
	var lastSent time.Time
	for {
		leaving := s.leaving.Load()
		if leaving || time.Since(lastSent) >= announceInterval {
			lastSent = time.Now()
			s.announce(client, addr, leaving)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement to the node and closes drained once the node reports that a
// leaving server has no requests left. Errors are ignored: the next announcement replaces a lost one.
func (s *Server) announce(client *http.Client, addr string, leaving bool) {
	body, err := json.Marshal(api.Announcement{
		ID:          s.options.ID,
		Service:     s.options.Service,
		Addr:        addr,
		Incarnation: s.incarnation,
		Slots:       s.options.Slots,
		ConnLimit:   s.options.ConnLimit,
		Load:        int(s.running.Load()),
		Leaving:     leaving,
		WarmUpMS:    s.options.WarmUp.Milliseconds(),
	})
	if err != nil {
		panic(err) // cannot happen: the struct has only strings, numbers and flags
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+s.options.NodeAddr+api.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var reply api.AnnounceReply
	if json.NewDecoder(response.Body).Decode(&reply) == nil && leaving && reply.Drained {
		s.drainOnce.Do(func() { close(s.drained) })
	}
}
