//go:build review

package cases

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got; Status is 0 if the connection ended without a complete answer.
type Answer struct {
	Status     int
	Signature  string
	RequestID  string
	Body       string
	RetryAfter string
	Err        error
	Sent, Took time.Duration
}

// Send sends one request on a new connection and reads the answer. body may be nil.
func (m *Machine) Send(method, path, id string, body []byte, timeout time.Duration) Answer {
	a := Answer{}
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", m.Outbound())
	if err != nil {
		a.Err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(started.Add(timeout))
	written := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n",
			method, path, Host, id, timeout.Milliseconds(), len(body))
		if err == nil && len(body) > 0 {
			_, err = conn.Write(body)
		}
		written <- err
	}()
	request, _ := http.NewRequest(method, "http://"+Host+path, nil)
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		a.Err, a.Took = err, time.Since(started)
		return a
	}
	data, err := io.ReadAll(response.Body)
	a.Took = time.Since(started)
	a.Status, a.Signature, a.RequestID = response.StatusCode, response.Header.Get("Response-Signature"), response.Header.Get("Request-Id")
	a.RetryAfter = response.Header.Get("Retry-After")
	a.Body = string(data)
	if err != nil {
		a.Status, a.Err = 0, err
	}
	return a
}
