package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/network"
	wire "fescuerill/internal/schema/caller"
)

// Limits of a client.
const (
	// DefaultTimeout is the timeout of one request to a host.
	DefaultTimeout   = 5 * time.Second
	maxResponseBytes = 16 << 20
	// idleConns is the maximum number of idle connections to each host.
	idleConns = 64
)

// Messages between callers and hosts.
type (
	// Search is a search over the shards of a scope.
	Search = wire.Search
	// Answer is the answer to a search.
	Answer = wire.Answer
	// Action is a non-idempotent request.
	Action = wire.Action
	// Outcome is the answer to a non-idempotent request that was executed.
	Outcome = wire.Outcome
	// Ticket pins an idempotency key to a host.
	Ticket = wire.Ticket
	// Status is the state that a host reports to operators.
	Status = wire.Status
	// Address is the address of a host that callers can use.
	Address = wire.Address
)

// ResponseError is the error with which a host answered a request.
type ResponseError struct {
	kind, reason, message string
	retryAfter            time.Duration
}

// Error returns the kind, the reason and the message, if there is one.
func (r *ResponseError) Error() string {
	if r.message == "" {
		return r.kind + ": " + r.reason
	}
	return r.kind + ": " + r.reason + ": " + r.message
}

// Kind returns "refused-not-run", "outcome-unknown", "deadline" or
// "bad-request".
func (r *ResponseError) Kind() string { return r.kind }

// Reason returns the cause in kebab case.
func (r *ResponseError) Reason() string { return r.reason }

// RetryAfter returns the time to wait before a retry.
func (r *ResponseError) RetryAfter() time.Duration { return r.retryAfter }

// NotRun reports whether it is certain that the request was not executed, so that
// it is safe to retry.
func (r *ResponseError) NotRun() bool { return r.kind == string(wire.FailureKindRefusedNotRun) }

// ErrNoHosts is returned if no host returned the address of a host to use.
var ErrNoHosts = errors.New("caller: no host returned host addresses")

// Client sends requests to hosts. It is created by NewClient. Its methods are safe
// for concurrent use.
type Client struct {
	seeds      []string
	dataCentre string
	http       *http.Client

	mu         sync.Mutex
	hosts      []Address
	validUntil time.Time
}

// NewClient returns a client that requests the hosts to use from those at the
// given addresses. Hosts in the given data centre are preferred; dataCentre can be
// empty.
func NewClient(dataCentre string, addresses ...string) *Client {
	c := &Client{seeds: addresses, dataCentre: dataCentre}
	c.SetDial((&net.Dialer{}).DialContext)
	return c
}

// SetDial sets the function that opens connections. It must be called before any
// other method.
func (c *Client) SetDial(f func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.http = network.NewHTTPClient(&http.Transport{MaxIdleConnsPerHost: idleConns, DialContext: f})
	c.http.Timeout = DefaultTimeout
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the hosts to use, in order of preference. It returns cached
// addresses while they are valid.
func (c *Client) Hosts(ctx context.Context) ([]Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.validUntil) {
		return c.hosts, nil
	}
	addresses := append([]string(nil), c.seeds...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, h := range c.hosts {
		addresses = append(addresses, h.Address)
	}
	for _, address := range addresses {
		var a wire.Addresses
		sent := time.Now()
		err := c.call(ctx, http.MethodGet, address, "/v1/hosts?data-centre="+url.QueryEscape(c.dataCentre), nil, &a)
		if err == nil && len(a.Hosts) > 0 {
			c.hosts, c.validUntil = a.Hosts, sent.Add(time.Duration(a.ValidMs)*time.Millisecond)
			return c.hosts, nil
		}
	}
	return nil, ErrNoHosts
}

// invalidateHosts makes the next call of Hosts request the addresses again.
func (c *Client) invalidateHosts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validUntil = time.Time{}
}

// Search runs a search. If a host does not answer, or refuses the search without
// having executed it, Search retries on other hosts until ctx is done or its
// deadline is earlier than the next retry.
func (c *Client) Search(ctx context.Context, s Search) (Answer, error) {
	for {
		hosts, err := c.Hosts(ctx)
		if err != nil {
			return Answer{}, err
		}
		for _, h := range hosts {
			a, err := c.SearchHost(ctx, h.Address, s)
			if err == nil {
				return a, nil
			}
			var r *ResponseError
			if errors.As(err, &r) && !r.NotRun() || !c.waitForRetry(ctx, r) {
				return Answer{}, err
			}
		}
		c.invalidateHosts()
	}
}

// waitForRetry waits for the delay given in r, if r is not nil, and reports whether
// there is time for a retry.
func (c *Client) waitForRetry(ctx context.Context, r *ResponseError) bool {
	if r == nil {
		return ctx.Err() == nil
	}
	if end, ok := ctx.Deadline(); ok && time.Until(end) < r.retryAfter {
		return false
	}
	select {
	case <-time.After(r.retryAfter):
		return true
	case <-ctx.Done():
		return false
	}
}

// SearchHost runs a search on one host, without retries.
func (c *Client) SearchHost(ctx context.Context, address string, s Search) (Answer, error) {
	var a Answer
	err := c.call(ctx, http.MethodPost, address, "/v1/search", s, &a)
	return a, err
}

// RequestTicket requests a ticket from the host at the address.
func (c *Client) RequestTicket(ctx context.Context, address string) (Ticket, error) {
	var t Ticket
	err := c.call(ctx, http.MethodGet, address, "/v1/ticket", nil, &t)
	return t, err
}

// SubmitAction sends a non-idempotent request to the host at the address, without
// retries. To retry, send the same Action to the same host, which executes it at
// most once.
func (c *Client) SubmitAction(ctx context.Context, address string, a Action) (Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodPost, address, "/v1/action", a, &o)
	return o, err
}

// GetJSON sends a GET request to a host and decodes the JSON answer into out.
func (c *Client) GetJSON(ctx context.Context, address, path string, out any) error {
	return c.call(ctx, http.MethodGet, address, path, nil, out)
}

func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "caller: encode request body")
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrap(err, "caller: create request")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "caller: send request")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "caller: read response body")
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, text)
	}
	return errors.Wrap(json.Unmarshal(text, out), "caller: decode response body")
}

// decodeError returns the error answer in text as a ResponseError. Another error is
// returned for a response that is not an error answer of a host.
func decodeError(status int, text []byte) error {
	var f wire.Failure
	if json.Unmarshal(text, &f) != nil || f.Kind == "" {
		return errors.New(fmt.Sprintf("caller: unexpected HTTP status %d", status))
	}
	r := &ResponseError{kind: string(f.Kind), reason: f.Reason}
	if f.Message != nil {
		r.message = *f.Message
	}
	if f.RetryAfterMs != nil {
		r.retryAfter = time.Duration(*f.RetryAfterMs) * time.Millisecond
	}
	return r
}
