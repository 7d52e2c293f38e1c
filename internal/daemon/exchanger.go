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

// maxReply is the size in bytes above which a target's reply is refused.
const maxReply = 8 << 20

// Errors of an exchange that surely did not run.
var (
	// errUnsent is returned when the target does not accept a connection.
	errUnsent = errors.New("daemon: target does not accept a connection")
	// errExpired is returned when there was no connection to send the exchange
	// on before its deadline.
	errExpired = errors.New("daemon: no connection before the deadline")
)

// exchanger holds the connections to one target.
type exchanger struct {
	base   string
	http   *http.Client
	pace   *rate.Limiter
	opened atomic.Int64
}

func newExchanger(b *settings.Target, n network.Network) *exchanger {
	p := b.Policy()
	x := &exchanger{base: "http://" + b.Address(), pace: rate.NewLimiter(rate.Every(p.MinConnectInterval()), 1)}
	x.http = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     min(p.MaxConnections(), p.Slots()+2),
		MaxIdleConnsPerHost: p.Slots() + 2,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, via, address string) (net.Conn, error) {
			if err := x.pace.Wait(ctx); err != nil {
				return nil, errors.Wrap(errExpired, err.Error())
			}
			c, err := n.Dial(ctx, via, address)
			if ctx.Err() != nil {
				return nil, errors.Wrap(errExpired, ctx.Err().Error())
			}
			if err != nil {
				return nil, errors.Wrap(errUnsent, err.Error())
			}
			x.opened.Add(1)
			return c, nil
		},
	}}
	return x
}

// close closes idle connections, so that what is sent next opens new ones.
func (x *exchanger) close() { x.http.CloseIdleConnections() }

// do sends an exchange and waits for its reply. The time left is stated when a
// connection has been found for it, so that the target gives up at until.
func (x *exchanger) do(ctx context.Context, q exchange.Request, until time.Time) (exchange.Reply, error) {
	var reply exchange.Reply
	body := func() ([]byte, error) {
		left := time.Until(until)
		if left <= 0 {
			return nil, errExpired
		}
		q.BudgetUs = int(left.Microseconds())
		return json.Marshal(q)
	}
	err := x.call(ctx, http.MethodPost, "/v1/exchange", body, &reply)
	return reply, err
}

// report asks the target for its report.
func (x *exchanger) report(ctx context.Context) (exchange.Report, error) {
	var r exchange.Report
	err := x.call(ctx, http.MethodGet, "/v1/report", nil, &r)
	return r, err
}

// cancel asks the target to end an exchange early.
func (x *exchanger) cancel(ctx context.Context, id string) error {
	var done struct{}
	body := func() ([]byte, error) { return json.Marshal(exchange.Cancel{ExchangeID: id}) }
	return x.call(ctx, http.MethodPost, "/v1/cancel", body, &done)
}

func (x *exchanger) call(ctx context.Context, method, path string, body func() ([]byte, error), out any) error {
	r, err := http.NewRequestWithContext(ctx, method, x.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "daemon: request")
	}
	if body != nil {
		r.GetBody = func() (io.ReadCloser, error) { return &lateBody{make: body}, nil }
		r.Body, _ = r.GetBody()
		r.ContentLength = -1
	}
	answer, err := x.http.Do(r)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("daemon: %s answered with status %d", path, answer.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(answer.Body, maxReply)).Decode(out), path)
}

// lateBody is the body of a request that is made when it is first read, which
// is when there is a connection to send it on.
type lateBody struct {
	make func() ([]byte, error)
	text *bytes.Reader
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	if b.text == nil {
		text, err := b.make()
		if err != nil {
			return 0, err
		}
		b.text = bytes.NewReader(text)
	}
	return b.text.Read(p)
}

// Close implements io.Closer.
func (b *lateBody) Close() error { return nil }
