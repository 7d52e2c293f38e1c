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

	wire "fescuerill/internal/schema/caller"
)

// Bounds of a client.
const (
	// DefaultTimeout bounds one request to a host.
	DefaultTimeout = 5 * time.Second
	maxAnswer      = 16 << 20
	// idleConns is the number of idle connections kept to a host.
	idleConns = 64
)

// Messages of the contract with callers.
type (
	// Search is a search over the shards of a scope.
	Search = wire.Search
	// Answer is the whole answer to a search.
	Answer = wire.Answer
	// Action is a non-idempotent request.
	Action = wire.Action
	// Outcome is the answer to a non-idempotent request that ran.
	Outcome = wire.Outcome
	// Ticket pins an idempotency key to a host.
	Ticket = wire.Ticket
	// Status is what a host says of itself to operators.
	Status = wire.Status
	// Address is a host that callers may use.
	Address = wire.Address
)

// ResponseError is an answer that is an error.
type ResponseError struct {
	kind, reason, message string
	retryAfter            time.Duration
}

// Error returns the kind and the reason.
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

// RetryAfter returns the time to wait before another try.
func (r *ResponseError) RetryAfter() time.Duration { return r.retryAfter }

// NotRun reports whether the request was surely not run.
func (r *ResponseError) NotRun() bool { return r.kind == string(wire.FailureKindRefusedNotRun) }

// ErrNoHosts is returned when no host that was asked names a host to use.
var ErrNoHosts = errors.New("caller: no host answers")

// Client asks the system. NewClient makes one. Its methods may be called from
// several goroutines.
type Client struct {
	seeds []string
	near  string
	http  *http.Client

	mu    sync.Mutex
	hosts []Address
	until time.Time
}

// NewClient returns a client that learns the hosts from those at the given
// addresses. Hosts in the data centre near go first; it may be empty.
func NewClient(near string, addresses ...string) *Client {
	return &Client{seeds: addresses, near: near, http: &http.Client{
		Timeout: DefaultTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConns},
	}}
}

// SetDial sets how connections are opened. It is called before any other
// method.
func (c *Client) SetDial(f func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: idleConns, DialContext: f}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the hosts to use, in the order in which to try them.
func (c *Client) Hosts(ctx context.Context) ([]Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.hosts, nil
	}
	from := append([]string(nil), c.seeds...)
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	for _, h := range c.hosts {
		from = append(from, h.Address)
	}
	for _, address := range from {
		var a wire.Addresses
		asked := time.Now()
		err := c.call(ctx, http.MethodGet, address, "/v1/hosts?data-centre="+url.QueryEscape(c.near), nil, &a)
		if err == nil && len(a.Hosts) > 0 {
			c.hosts, c.until = a.Hosts, asked.Add(time.Duration(a.ValidMs)*time.Millisecond)
			return c.hosts, nil
		}
	}
	return nil, ErrNoHosts
}

// forget makes the next call of Hosts ask again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// Search runs a search. It goes on to other hosts, as long as ctx allows, when
// a host does not answer or refuses without having run it.
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
			if errors.As(err, &r) && !r.NotRun() || !c.wait(ctx, r) {
				return Answer{}, err
			}
		}
		c.forget()
	}
}

// wait waits as a refusal asks and reports whether there is time for another
// try.
func (c *Client) wait(ctx context.Context, r *ResponseError) bool {
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

// SearchHost runs a search at one host, once.
func (c *Client) SearchHost(ctx context.Context, address string, s Search) (Answer, error) {
	var a Answer
	err := c.call(ctx, http.MethodPost, address, "/v1/search", s, &a)
	return a, err
}

// RequestTicket asks the host at the address for a ticket.
func (c *Client) RequestTicket(ctx context.Context, address string) (Ticket, error) {
	var t Ticket
	err := c.call(ctx, http.MethodGet, address, "/v1/ticket", nil, &t)
	return t, err
}

// SubmitAction sends a non-idempotent request to the host at the address, once. To try
// again, send the same Action to the same host: it never runs twice.
func (c *Client) SubmitAction(ctx context.Context, address string, a Action) (Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodPost, address, "/v1/action", a, &o)
	return o, err
}

// GetJSON reads a page of a host as JSON.
func (c *Client) GetJSON(ctx context.Context, address, path string, out any) error {
	return c.call(ctx, http.MethodGet, address, path, nil, out)
}

func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "caller: encode")
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrap(err, "caller: request")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "caller")
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "caller: answer")
	}
	if answer.StatusCode != http.StatusOK {
		return refused(answer.StatusCode, text)
	}
	return errors.Wrap(json.Unmarshal(text, out), "caller: answer")
}

func refused(status int, text []byte) error {
	var f wire.Failure
	if json.Unmarshal(text, &f) != nil || f.Kind == "" {
		return errors.New(fmt.Sprintf("caller: status %d", status))
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
