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

	"fescuerill/internal/network"
	"fescuerill/internal/schema/platform"
)

// Limits of the client.
const (
	// callTimeout is the timeout of a call; a watch adds its wait to it.
	callTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response.
	maxResponseBytes = 4 << 20
)

// Client implements Service over HTTP. It is created by NewClient.
type Client struct {
	base string
	http *http.Client
	// transferred is the number of bytes sent and received.
	transferred atomic.Int64
	dialFunc    DialFunc
}

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for the service at the IP address and port.
func NewClient(address string) *Client {
	c := &Client{base: "http://" + address, dialFunc: (&net.Dialer{}).DialContext}
	c.http = network.NewHTTPClient(&http.Transport{MaxIdleConnsPerHost: 4, DialContext: c.dial})
	return c
}

// BytesTransferred returns the number of bytes sent to and received from the service.
func (c *Client) BytesTransferred() int64 { return c.transferred.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := c.dialFunc(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{raw, &c.transferred}, nil
}

// SetDial sets the function that opens connections. It must be called before any
// other method.
func (c *Client) SetDial(f DialFunc) { c.dialFunc = f }

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Service.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e platform.Entry
	err := c.call(ctx, callTimeout, http.MethodGet, "/v1/keys/"+key, nil, &e)
	return newEntry(e), err
}

// List implements Service.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []platform.Entry
	err := c.call(ctx, callTimeout, http.MethodGet, "/v1/list/"+prefix, nil, &entries)
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = newEntry(e)
	}
	return out, err
}

// Watch implements Service.
func (c *Client) Watch(ctx context.Context, key string, after int, wait time.Duration) (Entry, error) {
	q := url.Values{"after": {strconv.Itoa(after)}, "wait": {wait.String()}}
	var e platform.Entry
	err := c.call(ctx, wait+callTimeout, http.MethodGet, "/v1/watch/"+key+"?"+q.Encode(), nil, &e)
	return newEntry(e), err
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
	return newEntry(e), err
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

// HostList is a client of the platform's list of hosts. It is created by
// NewHostList. The list states which hosts are live and which are leaving; it is
// updated with a delay.
type HostList struct {
	client *Client
}

// NewHostList returns the host list at the IP address and port.
func NewHostList(address string) *HostList { return &HostList{NewClient(address)} }

// SetDial sets the function that opens connections. It must be called before any
// other method.
func (l *HostList) SetDial(f DialFunc) { l.client.SetDial(f) }

// Close closes idle connections.
func (l *HostList) Close() { l.client.Close() }

// HostStates returns the state of each listed host, "live" or "leaving", by host name.
func (l *HostList) HostStates(ctx context.Context) (map[string]string, error) {
	listed, err := l.list(ctx)
	out := make(map[string]string, len(listed))
	for _, h := range listed {
		out[h.ID] = h.State
	}
	return out, err
}

// PeerAddresses returns the peer address, an IP address and port, of each listed
// host, by host name. Hosts without a peer address are omitted.
func (l *HostList) PeerAddresses(ctx context.Context) (map[string]string, error) {
	listed, err := l.list(ctx)
	out := make(map[string]string, len(listed))
	for _, h := range listed {
		if h.PeerAddress != nil {
			out[h.ID] = *h.PeerAddress
		}
	}
	return out, err
}

func (l *HostList) list(ctx context.Context) ([]platform.ListedHost, error) {
	var listed []platform.ListedHost
	err := l.client.call(ctx, callTimeout, http.MethodGet, "/v1/hosts", nil, &listed)
	return listed, err
}

func newEntry(e platform.Entry) Entry { return Entry{e.Key, e.Value, e.Revision} }

// call sends a request and decodes the response into out, also if it reports a
// conflict.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "store: encode request body")
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "store: create request")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return decodeResponse(response.StatusCode, text, out)
}

// decodeResponse decodes a response into out or returns the error that its status
// stands for. The service answers 204 if the wait of a watch ends without a newer
// revision.
func decodeResponse(status int, text []byte, out any) error {
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

// transportError wraps err with ErrUnavailable if the connection could not be
// opened, so that the call did not reach the service, and otherwise with
// ErrOutcomeUnknown.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}
