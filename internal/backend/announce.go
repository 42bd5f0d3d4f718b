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
	// leavingInterval is shorter, so that a drained server stops soon.
	leavingInterval = 200 * time.Millisecond
	announceTimeout = 800 * time.Millisecond
)

// announceLoop repeats the announcement until stop is closed.
func (s *Server) announceLoop(addr string, stop <-chan struct{}) {
	client := &http.Client{Timeout: announceTimeout}
	ticker := time.NewTicker(leavingInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		leaving := s.leaving.Load()
		if leaving || time.Since(last) >= announceInterval {
			last = time.Now()
			s.announce(client, addr, leaving)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// announce tells the node about the server. A lost announcement is repeated by
// the loop, so errors need no handling.
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
		panic(err) // a struct of strings and numbers always encodes
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+s.options.Node+api.PathAnnounce, bytes.NewReader(body))
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
		s.once.Do(func() { close(s.drained) })
	}
}
