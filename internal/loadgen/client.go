package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/report"
)

const (
	// responseGrace is how long a caller waits beyond its deadline. The fleet responds at the deadline
	// at the latest; this covers the time that the response takes to arrive.
	responseGrace = 2 * time.Second
	// maxResponse is the limit of a response body in bytes.
	maxResponse = 64 << 20
	// idleTimeout is the time after which unused connections are closed.
	idleTimeout = 30 * time.Second
)

// client sends requests without retries.
type client struct {
	mix     *Mix
	entries []string
	http    *http.Client
}

func newClient(mix *Mix, entries []string) *client {
	transport := &http.Transport{
		MaxConnsPerHost:     mix.Connections,
		MaxIdleConnsPerHost: mix.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &client{mix: mix, entries: entries, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// send makes one attempt through the given entry.
func (c *client) send(ctx context.Context, p plannedRequest, key string, number int, entry string) report.Attempt {
	attempt := report.Attempt{Token: p.token, Key: key, Target: p.target.name(), Kind: p.kind,
		Number: number, Entry: entry, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.mix.Deadline+responseGrace)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	c.exchange(ctx, p, &attempt, &connected)
	attempt.Latency = time.Since(attempt.SentAt)
	return attempt
}

func (c *client) exchange(ctx context.Context, p plannedRequest, attempt *report.Attempt, connected *atomic.Bool) {
	request, err := c.request(ctx, p, attempt.Key, attempt.Entry)
	if err != nil {
		attempt.Outcome, attempt.Check = codes.NotRun, report.CheckNotSent
		return
	}
	response, err := c.http.Do(request)
	if err != nil {
		attempt.Outcome, attempt.Check = codes.Unknown, report.CheckLost
		if !connected.Load() {
			attempt.Outcome, attempt.Check = codes.NotRun, report.CheckNotSent
		}
		return
	}
	defer response.Body.Close()
	attempt.Status = response.StatusCode
	attempt.ID = response.Header.Get(api.HeaderRequestID)
	attempt.Code, attempt.Outcome = parseResult(response.Header)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		attempt.Check = report.CheckCutOff
		attempt.Outcome = codes.Unknown
		return
	}
	attempt.Check = checkResponse(response.StatusCode, attempt.Code, body, p)
}

// request builds the HTTP request of one attempt. GetBody is nil, so that net/http never sends a write
// a second time on its own; the attempt then counts as CheckLost.
func (c *client) request(ctx context.Context, p plannedRequest, key, entry string) (*http.Request, error) {
	method, query := http.MethodGet, url.Values{"token": {p.token}}
	if p.target.Padding > 0 {
		query.Set("padding", strconv.Itoa(p.target.Padding))
	}
	var body io.Reader
	if p.kind == report.Write {
		method = http.MethodPost
		body = strings.NewReader(`{"token":"` + p.token + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+p.target.Path+"?"+query.Encode(), body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Host = p.target.Host
	request.Header.Set(api.HeaderDeadline, strconv.FormatInt(c.mix.Deadline.Milliseconds(), 10))
	if p.account != "" {
		request.Header.Set(api.HeaderAccount, p.account)
	}
	if key != "" {
		request.Header.Set(api.HeaderIdempotencyKey, key)
	}
	return request, nil
}

// issueKey asks an entry for an idempotency key for the target's service.
func (c *client) issueKey(ctx context.Context, p plannedRequest, entry string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.mix.Deadline)
	defer cancel()
	address := "http://" + entry + api.PathKeys + "?" + url.Values{"service": {p.target.Service}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if p.account != "" {
		request.Header.Set(api.HeaderAccount, p.account)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", trace.ConnectionProblem(err, "no response to the request for an idempotency key")
	}
	defer response.Body.Close()
	var issued api.IssuedKey
	if response.StatusCode/100 != 2 {
		return "", trace.ConnectionProblem(nil, "the request for an idempotency key failed with status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(&issued); err != nil || issued.Key == "" {
		return "", trace.BadParameter("the response to the request for an idempotency key has no key")
	}
	return issued.Key, nil
}
