package relay

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/tinylib/msgp/msgp"

	"fescuerill/internal/network/frame"
	"fescuerill/internal/observe/traffic"
	wire "fescuerill/internal/schema/relay"
	"fescuerill/ring"
)

const (
	// dialTimeout bounds the time to open a connection to a host.
	dialTimeout = 500 * time.Millisecond
	// backOffTime is how long a host is not used after a failure.
	backOffTime = time.Second
	// maxQueuedMessages is the capacity of the write queue of a connection.
	maxQueuedMessages = 1024
	// maxBodyBytes is the length of the longest body of a request that is relayed. A message
	// above frame.MaxMessageSize would end the connection, with all requests on it.
	maxBodyBytes = frame.MaxMessageSize / 2
)

var errDisconnected = errors.New("connection to relay host closed")

// ResultHandler handles the outcome of a request. Its methods must not block.
type ResultHandler interface {
	// HandleResults is called with the results of parts that have ended.
	HandleResults(r Results)
	// HandleFailure is called once if the request fails; the remaining parts get no result.
	HandleFailure(err error)
}

// Connections holds the connections to relay hosts. Call Reset before use. Its methods are
// safe for concurrent use.
type Connections struct {
	ctx       context.Context
	log       *slog.Logger
	meter     *traffic.Meter
	mu        sync.Mutex
	byAddress map[string]*hostConn
}

// Reset initialises an empty set of connections, which are closed when ctx ends. Their bytes
// are counted in meter.
func (cs *Connections) Reset(ctx context.Context, log *slog.Logger, meter *traffic.Meter) {
	cs.ctx, cs.log, cs.meter, cs.byAddress = ctx, log, meter, map[string]*hostConn{}
}

// hostConn is the connection to one relay host, with its pending requests.
type hostConn struct {
	address string
	log     *slog.Logger
	queue   ring.Ring[message]

	mu           sync.Mutex
	conn         *jsonrpc2.Conn
	backOffUntil time.Time
	connecting   bool
	lastNumber   int
	// pending holds the requests with missing results by message number.
	pending map[int]*pendingRequest
}

// message is a message in the write queue.
type message struct {
	kind frame.Kind
	body msgp.Marshaler
}

// Ready reports whether requests can be sent to the host now. If there is no connection,
// it starts to open one in the background unless the host is in back-off.
func (cs *Connections) Ready(address string) bool {
	cs.mu.Lock()
	hc := cs.byAddress[address]
	if hc == nil {
		hc = &hostConn{address: address, log: cs.log, pending: map[int]*pendingRequest{}}
		hc.queue.Reset(maxQueuedMessages)
		cs.byAddress[address] = hc
	}
	cs.mu.Unlock()
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if hc.conn == nil && !hc.connecting && time.Now().After(hc.backOffUntil) {
		hc.connecting = true
		go hc.connect(cs.ctx, cs.meter)
	}
	return hc.conn != nil && time.Now().After(hc.backOffUntil)
}

// Send sends a request to the host. It returns a function that cancels the request and
// reports whether results were still missing, or false if the request cannot be sent.
func (cs *Connections) Send(address string, req Request, h ResultHandler) (func() bool, bool) {
	if len(req.CallerRequest.Body) > maxBodyBytes {
		return nil, false
	}
	cs.mu.Lock()
	hc := cs.byAddress[address]
	cs.mu.Unlock()
	if hc == nil {
		return nil, false
	}
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if hc.conn == nil {
		return nil, false
	}
	hc.lastNumber++
	number := hc.lastNumber
	m := encodeRequest(time.Now(), number, req)
	if !hc.queue.Push(message{kindRequest, &m}) {
		return nil, false
	}
	hc.pending[number] = &pendingRequest{ResultHandler: h, remainingParts: len(req.Targets)}
	return func() bool { return hc.cancel(number) }, true
}

// pendingRequest counts the parts of a request without a result.
type pendingRequest struct {
	ResultHandler
	remainingParts int
}

// cancel cancels a request and reports whether it was pending.
func (hc *hostConn) cancel(number int) bool {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if hc.pending[number] == nil {
		return false
	}
	delete(hc.pending, number)
	hc.queue.Push(message{kindCancel, &wire.Cancel{Number: number}})
	return true
}

// BackOff puts a host into back-off for backOffTime.
func (cs *Connections) BackOff(address string) {
	cs.mu.Lock()
	hc := cs.byAddress[address]
	cs.mu.Unlock()
	if hc == nil {
		return
	}
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.backOffUntil = time.Now().Add(backOffTime)
}

// connect opens the connection and starts its write loop.
func (hc *hostConn) connect(ctx context.Context, meter *traffic.Meter) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	raw, err := d.DialContext(ctx, "tcp", hc.address)
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.connecting = false
	if err != nil {
		hc.backOffUntil = time.Now().Add(backOffTime)
		hc.log.Debug("relay host unreachable", "host", hc.address, "error", err)
		return
	}
	setAckTimeout(raw)
	hc.queue.Drain(nil)
	stream := newStream(meter.Conn(raw, traffic.Relay, traffic.Remote), hc.handleData)
	c := readMessages(ctx, stream)
	hc.conn = c
	go hc.writeLoop(ctx, stream, c)
}

// writeLoop sends queued messages until the connection is closed or ctx ends.
func (hc *hostConn) writeLoop(ctx context.Context, stream *frame.Stream, c *jsonrpc2.Conn) {
	for {
		select {
		case <-hc.queue.Ready():
		case <-c.DisconnectNotify():
			hc.disconnected(c, errDisconnected)
			return
		case <-ctx.Done():
			_ = c.Close()
			hc.disconnected(c, ctx.Err())
			return
		}
		for _, m := range hc.queue.Drain(nil) {
			if err := stream.WriteData(m.kind, m.body); err != nil {
				_ = c.Close()
				hc.disconnected(c, err)
				return
			}
		}
	}
}

// disconnected removes a closed connection and fails its pending requests.
func (hc *hostConn) disconnected(c *jsonrpc2.Conn, err error) {
	hc.mu.Lock()
	if hc.conn != c {
		hc.mu.Unlock()
		return
	}
	hc.conn = nil
	hc.backOffUntil = time.Now().Add(backOffTime)
	failed := hc.pending
	hc.pending = map[int]*pendingRequest{}
	hc.mu.Unlock()
	hc.log.Info("connection for parts lost", "host", hc.address, "messages", len(failed), "error", err)
	for _, p := range failed {
		p.HandleFailure(err)
	}
}

// handleData handles a message with results. An error closes the connection.
func (hc *hostConn) handleData(k frame.Kind, body []byte) error {
	if k != kindResults {
		return frame.ErrUnexpectedKind
	}
	var m wire.Results
	if _, err := m.UnmarshalMsg(body); err != nil {
		hc.log.Warn("invalid results message from relay host", "host", hc.address, "error", err)
		return errors.Wrap(err, "decode relay results")
	}
	results := decodeResults(m)
	hc.mu.Lock()
	p, ok := hc.pending[m.Number]
	if ok {
		p.remainingParts -= len(results.Parts)
		if p.remainingParts <= 0 {
			delete(hc.pending, m.Number)
		}
	}
	hc.mu.Unlock()
	if ok {
		p.HandleResults(results)
	}
	return nil
}
