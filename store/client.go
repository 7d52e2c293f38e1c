package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
)

// Bounds of the client.
const (
	// callTimeout bounds a call that does not wait.
	callTimeout = 2 * time.Second
	// maxAnswer is the size in bytes above which an answer is refused.
	maxAnswer = 4 << 20
)

// Client is the Service at an address. NewClient makes one.
type Client struct {
	base string
	http *http.Client
	// bytes counts what was sent and received.
	bytes atomic.Int64
	open  DialFunc
}

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for the service at the IP address and port.
func NewClient(address string) *Client {
	c := &Client{base: "http://" + address, open: (&net.Dialer{}).DialContext}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: c.dial}}
	return c
}

// BytesTransferred returns the bytes sent to and received from the service.
func (c *Client) BytesTransferred() int64 { return c.bytes.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := c.open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{raw, &c.bytes}, nil
}

// SetDial sets how connections are opened. It is called before any other
// method.
func (c *Client) SetDial(f DialFunc) { c.open = f }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Service.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e platform.Entry
	err := c.call(ctx, callTimeout, http.MethodGet, "/v1/keys/"+key, nil, &e)
	return entry(e), err
}

// List implements Service.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var found []platform.Entry
	err := c.call(ctx, callTimeout, http.MethodGet, "/v1/list/"+prefix, nil, &found)
	out := make([]Entry, len(found))
	for i, e := range found {
		out[i] = entry(e)
	}
	return out, err
}

// Watch implements Service.
func (c *Client) Watch(ctx context.Context, key string, after int, wait time.Duration) (Entry, error) {
	q := url.Values{"after": {strconv.Itoa(after)}, "wait": {wait.String()}}
	var e platform.Entry
	err := c.call(ctx, wait+callTimeout, http.MethodGet, "/v1/watch/"+key+"?"+q.Encode(), nil, &e)
	return entry(e), err
}

// Put implements Service.
func (c *Client) Put(ctx context.Context, key, value string, ifRevision int, lease string) (Entry, error) {
	put := platform.PutRequest{Value: value}
	if ifRevision != AnyRevision {
		put.IfRevision = &ifRevision
	}
	if lease != "" {
		put.Lease = &lease
	}
	var e platform.Entry
	err := c.call(ctx, callTimeout, http.MethodPut, "/v1/keys/"+key, put, &e)
	return entry(e), err
}

// Delete implements Service.
func (c *Client) Delete(ctx context.Context, key string) error {
	return c.call(ctx, callTimeout, http.MethodDelete, "/v1/keys/"+key, nil, nil)
}

// Grant implements Service.
func (c *Client) Grant(ctx context.Context, d time.Duration) (string, error) {
	var l platform.Lease
	err := c.call(ctx, callTimeout, http.MethodPost, "/v1/leases", platform.Lease{TimeMs: int(d.Milliseconds())}, &l)
	return l.ID, err
}

// Renew implements Service.
func (c *Client) Renew(ctx context.Context, id string) error {
	return c.call(ctx, callTimeout, http.MethodPut, "/v1/leases/"+id, nil, nil)
}

// Revoke implements Service.
func (c *Client) Revoke(ctx context.Context, id string) error {
	return c.call(ctx, callTimeout, http.MethodDelete, "/v1/leases/"+id, nil, nil)
}

// HostList is the platform's list of hosts. NewHostList makes one. It shows
// which hosts are live and which are leaving, with a lag.
type HostList struct {
	client *Client
}

// NewHostList returns the host list at the IP address and port.
func NewHostList(address string) *HostList { return &HostList{NewClient(address)} }

// SetDial sets how connections are opened. It is called before any other
// method.
func (l *HostList) SetDial(f DialFunc) { l.client.SetDial(f) }

// Close closes idle connections.
func (l *HostList) Close() { l.client.Close() }

// HostStates returns the state of each host listed, "live" or "leaving", by name.
func (l *HostList) HostStates(ctx context.Context) (map[string]string, error) {
	listed, err := l.listed(ctx)
	out := make(map[string]string, len(listed))
	for _, h := range listed {
		out[h.ID] = h.State
	}
	return out, err
}

// PeerAddresses returns the IP address and port for other hosts of each host
// listed, by name.
func (l *HostList) PeerAddresses(ctx context.Context) (map[string]string, error) {
	listed, err := l.listed(ctx)
	out := make(map[string]string, len(listed))
	for _, h := range listed {
		if h.PeerAddress != nil {
			out[h.ID] = *h.PeerAddress
		}
	}
	return out, err
}

func (l *HostList) listed(ctx context.Context) ([]platform.ListedHost, error) {
	var listed []platform.ListedHost
	err := l.client.call(ctx, callTimeout, http.MethodGet, "/v1/hosts", nil, &listed)
	return listed, err
}

func entry(e platform.Entry) Entry { return Entry{e.Key, e.Value, e.Revision} }

// call sends a request and decodes the answer into out, also that of a
// conflict.
func (c *Client) call(ctx context.Context, limit time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "store: encode")
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "store: request")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return unsent(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return decode(answer.StatusCode, text, out)
}

func decode(status int, text []byte, out any) error {
	switch status {
	case http.StatusNotFound, http.StatusNoContent:
		return ErrNotFound
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusOK, http.StatusConflict:
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", status)
	}
	if out != nil {
		if err := json.Unmarshal(text, out); err != nil {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
	if status == http.StatusConflict {
		return ErrConflict
	}
	return nil
}

// unsent tells a call that never reached the service from one whose answer was
// lost.
func unsent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}
