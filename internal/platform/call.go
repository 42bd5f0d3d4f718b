package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one call to the platform.
type request struct {
	method string
	path   string
	body   []byte
	// read marks a call without side effects, which may be retried after any
	// failure.
	read bool
}

// answer is the response to a successful call.
type answer struct {
	header http.Header
	body   []byte
}

// call sends r until it succeeds, a retry is not safe, MaxAttempts is reached or
// the timeout expires.
func (c *Client) call(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	pause := c.options.Backoff
	for attempt := 1; ; attempt++ {
		result, err := c.attempt(ctx, r)
		if attempt >= c.options.MaxAttempts || !isRetryable(r, err) {
			return result, rateLimitAsNotSent(err)
		}
		if !sleep(ctx, time.Duration(float64(pause)*2*c.options.Random())) {
			return result, rateLimitAsNotSent(err)
		}
		pause *= 2
	}
}

// isRetryable reports whether r may be retried after err. A write may be retried
// only if the failed attempt certainly had no effect.
func isRetryable(r request, err error) bool {
	if errors.Is(err, ErrRateLimited) || errors.Is(err, errConnectFailed) {
		return true
	}
	return r.read && errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrNotSent)
}

// rateLimitAsNotSent converts ErrRateLimited, when no attempt is left, to ErrNotSent.
func rateLimitAsNotSent(err error) error {
	if errors.Is(err, ErrRateLimited) {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return err
}

// errConnectFailed means that no connection could be established.
var errConnectFailed = fmt.Errorf("%w: connection failed", ErrNotSent)

// attempt sends r once, if the circuit breaker allows it.
func (c *Client) attempt(ctx context.Context, r request) (answer, error) {
	if !c.breaker.allow() {
		return answer{}, fmt.Errorf("%w: the circuit breaker is open", ErrNotSent)
	}
	result, err := c.send(ctx, r)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		c.breaker.cancelTrial()
	default:
		c.breaker.record(!errors.Is(err, ErrUnavailable))
	}
	return result, err
}

func (c *Client) send(ctx context.Context, r request) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, newBody(r.body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrRejected, err)
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
		// Without GetBody the transport cannot retry a write on its own.
		req.GetBody = nil
	}
	response, err := c.http.Do(req)
	if err != nil {
		return answer{}, transportError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return answer{}, fmt.Errorf("%w: reading the response: %v", ErrUnavailable, err)
	}
	return answer{header: response.Header, body: body}, statusError(response.StatusCode, body)
}

func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %v", errConnectFailed, err)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func statusError(status int, body []byte) error {
	var detail errorBody
	decodeError := json.Unmarshal(body, &detail)
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound && decodeError == nil:
		// A 404 without the error body of the protocol comes from a wrong base
		// URL and says nothing about the row.
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	}
	if status < 500 {
		return fmt.Errorf("%w: status %d: %s", ErrRejected, status, detail.Error)
	}
	return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, detail.Error)
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
