package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Defaults of ClientOptions.
const (
	defaultTimeout          = 2 * time.Second
	defaultAttempts         = 3
	defaultBackoff          = 50 * time.Millisecond
	defaultFailureThreshold = 5
	defaultOpenInterval     = 2 * time.Second
	idleConnections         = 8
)

// ClientOptions adjusts a Client. The zero value gives the defaults.
type ClientOptions struct {
	// Timeout bounds one call with all its retries. Default 2s.
	Timeout time.Duration
	// MaxAttempts bounds how often a call is sent if retrying it is safe. Default 3.
	MaxAttempts int
	// Backoff is the mean delay before the first retry; it doubles with each
	// retry. The actual delay is between 0 and twice the mean. Default 50ms.
	Backoff time.Duration
	// FailureThreshold is the number of consecutive failures after which the
	// circuit breaker opens. Default 5.
	FailureThreshold int
	// OpenInterval is the mean time between two trial calls while the circuit
	// breaker is open. Default 2s.
	OpenInterval time.Duration
	// Transport sends the requests. Default: a new http.Transport.
	Transport http.RoundTripper
	// Random returns values from 0 to 1 for jitter. Default math/rand.
	Random func() float64
}

// Client is a Store and ObjectStore over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	options ClientOptions
	http    *http.Client
	breaker *breaker
}

var (
	_ Store       = (*Client)(nil)
	_ ObjectStore = (*Client)(nil)
)

// NewClient returns a client of the platform at the base URL. It makes no call.
func NewClient(url string, options ClientOptions) *Client {
	options = options.withDefaults()
	return &Client{
		base:    strings.TrimSuffix(url, "/"),
		options: options,
		http:    &http.Client{Transport: options.Transport},
		breaker: &breaker{
			threshold: options.FailureThreshold,
			pause:     options.OpenInterval,
			now:       time.Now,
			random:    options.Random,
		},
	}
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultAttempts
	}
	if o.Backoff <= 0 {
		o.Backoff = defaultBackoff
	}
	if o.FailureThreshold <= 0 {
		o.FailureThreshold = defaultFailureThreshold
	}
	if o.OpenInterval <= 0 {
		o.OpenInterval = defaultOpenInterval
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

// CircuitOpen reports whether the circuit breaker refuses calls.
func (c *Client) CircuitOpen() bool { return c.breaker.open() }

// Get implements Store. It returns an error that matches ErrUnavailable if no
// response arrived in time.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	query := url.Values{"key": {key}}
	answer, err := c.call(ctx, request{
		method: http.MethodGet,
		path:   tablePath(table, "row") + "?" + query.Encode(),
		read:   true,
	})
	if err != nil {
		return Row{Key: key}, err
	}
	var row Row
	return row, decodeAnswer(answer.body, &row)
}

// Scan implements Store. One response holds at most MaxScanRows rows; Scan
// requests pages until limit is reached or no rows are left. A limit of 0 means all.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	for {
		page := MaxScanRows
		if limit > 0 {
			page = min(page, limit-len(rows))
		}
		next, err := c.scanPage(ctx, table, prefix, after, page)
		if err != nil {
			return nil, err
		}
		rows = append(rows, next...)
		if len(next) < page || (limit > 0 && len(rows) >= limit) {
			return rows, nil
		}
		after = next[len(next)-1].Key
	}
}

func (c *Client) scanPage(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	answer, err := c.call(ctx, request{
		method: http.MethodGet,
		path:   tablePath(table, "rows") + "?" + query.Encode(),
		read:   true,
	})
	if err != nil {
		return nil, err
	}
	var body rowsBody
	return body.Rows, decodeAnswer(answer.body, &body)
}

// Transact implements Store. It retries only if the store refused the call by its
// rate limit, or if no connection could be established.
func (c *Client) Transact(ctx context.Context, table string, checks []Check, writes []Write) error {
	body, err := json.Marshal(transactBody{Checks: checks, Writes: writes})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRejected, err)
	}
	_, err = c.call(ctx, request{method: http.MethodPost, path: tablePath(table, "transact"), body: body})
	return err
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) (Object, error) {
	answer, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(name), read: true})
	if err != nil {
		return Object{Name: name}, err
	}
	version, err := strconv.ParseUint(answer.header.Get(headerObjectVersion), 10, 64)
	if err != nil {
		return Object{Name: name}, fmt.Errorf("%w: the response has no valid object version", ErrUnavailable)
	}
	return Object{Name: name, Version: version, Data: answer.body}, nil
}

// PutObject implements ObjectStore. It retries under the same rule as Transact.
func (c *Client) PutObject(ctx context.Context, name string, data []byte, ifVersion uint64) (uint64, error) {
	query := url.Values{"if_version": {strconv.FormatUint(ifVersion, 10)}}
	answer, err := c.call(ctx, request{
		method: http.MethodPut,
		path:   objectPath(name) + "?" + query.Encode(),
		body:   data,
	})
	if err != nil {
		return 0, err
	}
	var body versionBody
	return body.Version, decodeAnswer(answer.body, &body)
}

func tablePath(table, operation string) string {
	return "/v1/tables/" + url.PathEscape(table) + "/" + operation
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }

// decodeAnswer reports a malformed response as ErrUnavailable, because it does
// not say whether the call took effect.
func decodeAnswer(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%w: malformed response: %v", ErrUnavailable, err)
	}
	return nil
}

func newBody(data []byte) io.Reader {
	if data == nil {
		return nil
	}
	return bytes.NewReader(data)
}
