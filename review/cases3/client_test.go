//go:build review3

package cases3

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestTimeout is how long clients wait.
const requestTimeout = 12 * time.Second

// request is a request of a client and its answer; status 0 means that the connection ended without one.
type request struct {
	id, method, target string
	node               *node
	sent, ended        time.Time
	status             int
	signature, body    string
}

// clients send requests to the nodes of their machines.
type clients struct {
	r    *run
	http *http.Client

	count atomic.Int64
	wait  sync.WaitGroup
	mu    sync.Mutex
	all   map[string]*request
}

func newClients(r *run) *clients {
	return &clients{r: r, all: map[string]*request{}, http: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
}

// send sends a request and waits for its answer.
func (c *clients) send(n *node, method, target, body string) *request {
	q := &request{id: fmt.Sprintf("%016x", c.count.Add(1)), method: method, target: target, node: n, sent: time.Now()}
	c.mu.Lock()
	c.all[q.id] = q
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.addr(portOutbound)+target, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Request-Timeout-Ms", itoa(int(requestTimeout.Milliseconds())))
	c.r.noteAt(q.sent, "sent %s %s %s to %s", q.id, method, target, n.name)
	response, err := c.http.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			q.status, q.signature, q.body = response.StatusCode, response.Header.Get("Response-Signature"), string(data)
		}
	}
	q.ended = time.Now()
	c.r.note("answered %s %d signature %q", q.id, q.status, q.signature)
	return q
}

// stream sends requests to a node at an interval until done is closed.
func (c *clients) stream(n *node, interval time.Duration, method, target string, done <-chan struct{}) {
	c.wait.Go(func() {
		for i := 0; ; i++ {
			c.wait.Go(func() { c.send(n, method, target+itoa(i), strings.Repeat("x", 200)) })
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
		}
	})
}

// counts returns the number of answers by status.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, q := range c.all {
		counts[q.status]++
	}
	return counts
}
