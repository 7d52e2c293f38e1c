package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"fescuerill/internal/network"
	"fescuerill/internal/schema/exchange"
	"fescuerill/settings"
)

// maxReplyBytes is the size above which the reply of a target is refused.
const maxReplyBytes = 8 << 20

// Errors of an exchange that has certainly not run.
var (
	// errConnect is returned if the target does not accept a connection.
	errConnect = errors.New("daemon: target does not accept a connection")
	// errExpired is returned if no connection was available before the deadline
	// of the exchange.
	errExpired = errors.New("daemon: no connection before the deadline")
)

// targetClient sends requests to one target and holds the connections to it.
type targetClient struct {
	base        string
	http        *http.Client
	dialLimiter *rate.Limiter
	opened      atomic.Int64
}

func newTargetClient(t *settings.Target, n network.Network) *targetClient {
	p := t.Policy()
	client := &targetClient{base: "http://" + t.Address(), dialLimiter: rate.NewLimiter(rate.Every(p.MinConnectInterval()), 1)}
	client.http = network.NewHTTPClient(&http.Transport{
		MaxConnsPerHost:     min(p.MaxConnections(), p.Slots()+2),
		MaxIdleConnsPerHost: p.Slots() + 2,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, via, address string) (net.Conn, error) {
			if err := client.dialLimiter.Wait(ctx); err != nil {
				return nil, errors.Wrap(errExpired, err.Error())
			}
			c, err := n.Dial(ctx, via, address)
			if ctx.Err() != nil {
				return nil, errors.Wrap(errExpired, ctx.Err().Error())
			}
			if err != nil {
				return nil, errors.Wrap(errConnect, err.Error())
			}
			client.opened.Add(1)
			return c, nil
		},
	})
	return client
}

// close closes idle connections, so that later requests open new ones.
func (c *targetClient) close() { c.http.CloseIdleConnections() }

// do sends an exchange and waits for its reply. The body, which states the time
// left, is encoded only when a connection is available, so that the target
// gives up at until even if the request had to wait for the connection.
func (c *targetClient) do(ctx context.Context, q exchange.Request, until time.Time) (exchange.Reply, error) {
	var reply exchange.Reply
	body := func() ([]byte, error) {
		left := time.Until(until)
		if left <= 0 {
			return nil, errExpired
		}
		q.BudgetUs = int(left.Microseconds())
		return json.Marshal(q)
	}
	err := c.call(ctx, http.MethodPost, "/v1/exchange", body, &reply)
	return reply, err
}

// report fetches the report of the target.
func (c *targetClient) report(ctx context.Context) (exchange.Report, error) {
	var r exchange.Report
	err := c.call(ctx, http.MethodGet, "/v1/report", nil, &r)
	return r, err
}

// cancel requests the target to end an exchange early.
func (c *targetClient) cancel(ctx context.Context, id string) error {
	var done struct{}
	body := func() ([]byte, error) { return json.Marshal(exchange.Cancel{ExchangeID: id}) }
	return c.call(ctx, http.MethodPost, "/v1/cancel", body, &done)
}

func (c *targetClient) call(ctx context.Context, method, path string, body func() ([]byte, error), out any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "daemon: create request")
	}
	if body != nil {
		r.GetBody = func() (io.ReadCloser, error) { return &lazyBody{encode: body}, nil }
		r.Body, _ = r.GetBody()
		r.ContentLength = -1
	}
	response, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("daemon: %s answered with status %d", path, response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(out), path)
}

// lazyBody is a request body that is encoded on the first read, which is when a
// connection is available to send it on.
type lazyBody struct {
	encode func() ([]byte, error)
	reader *bytes.Reader
}

// Read implements io.Reader.
func (b *lazyBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		text, err := b.encode()
		if err != nil {
			return 0, err
		}
		b.reader = bytes.NewReader(text)
	}
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *lazyBody) Close() error { return nil }
