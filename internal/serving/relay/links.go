package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"

	wire "fescuerill/internal/schema/relay"
	"fescuerill/ring"
)

const (
	// dialTimeout bounds how long a connection to a host takes to open.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout ends a connection whose peer acknowledges nothing.
	ackTimeout = time.Second
	// backOffTime is how long a host is left alone that failed.
	backOffTime = time.Second
	// maxQueuedMessages is the number of messages that wait to be written.
	maxQueuedMessages = 1024
)

var errDisconnected = errors.New("connection to the host is broken")

// Receiver takes what becomes of an Ask. Its methods do not block.
type Receiver interface {
	// Told takes parts that have ended.
	Told(t Told)
	// Broken takes that the parts that were not told of have no answer.
	Broken(err error)
}

// Links are the connections to hosts. Reset it before use. Its methods may be
// called from several goroutines.
type Links struct {
	ctx       context.Context
	log       *slog.Logger
	mu        sync.Mutex
	byAddress map[string]*connection
}

// Reset makes the links empty; they end with ctx.
func (l *Links) Reset(ctx context.Context, log *slog.Logger) {
	l.ctx, l.log, l.byAddress = ctx, log, map[string]*connection{}
}

// connection is the connection to one host.
type connection struct {
	address string
	log     *slog.Logger
	queue   ring.Ring[message]

	mu           sync.Mutex
	conn         *jsonrpc2.Conn
	backOffUntil time.Time
	connecting   bool
	lastNumber   int
	pending      map[int]*pendingRequest
}

type message struct {
	method string
	body   any
}

// Up reports whether parts can be asked through the host now. If there is no
// connection, one is opened meanwhile.
func (l *Links) Up(address string) bool {
	l.mu.Lock()
	k := l.byAddress[address]
	if k == nil {
		k = &connection{address: address, log: l.log, pending: map[int]*pendingRequest{}}
		k.queue.Reset(maxQueuedMessages)
		l.byAddress[address] = k
	}
	l.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil && !k.connecting && time.Now().After(k.backOffUntil) {
		k.connecting = true
		go k.connect(l.ctx)
	}
	return k.conn != nil && time.Now().After(k.backOffUntil)
}

// Ask asks the host for parts. It returns a function that ends them and reports
// whether some had not been told of, or false if the host cannot be asked.
func (l *Links) Ask(address string, a Ask, r Receiver) (func() bool, bool) {
	l.mu.Lock()
	k := l.byAddress[address]
	l.mu.Unlock()
	if k == nil {
		return nil, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil {
		return nil, false
	}
	k.lastNumber++
	number := k.lastNumber
	if !k.queue.Push(message{methodRequest, encodeRequest(time.Now(), number, a)}) {
		return nil, false
	}
	k.pending[number] = &pendingRequest{Receiver: r, remaining: len(a.Targets)}
	return func() bool { return k.cancel(number) }, true
}

// pendingRequest counts the parts that were not told of.
type pendingRequest struct {
	Receiver
	remaining int
}

func (k *connection) cancel(number int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[number] == nil {
		return false
	}
	delete(k.pending, number)
	k.queue.Push(message{methodCancel, wire.Cancel{Number: number}})
	return true
}

// Rest leaves a host alone for a while.
func (l *Links) Rest(address string) {
	l.mu.Lock()
	k := l.byAddress[address]
	l.mu.Unlock()
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backOffUntil = time.Now().Add(backOffTime)
}

// setAckTimeout lets a connection end whose peer acknowledges nothing.
func setAckTimeout(raw net.Conn) {
	t, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}

func (k *connection) connect(ctx context.Context) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	raw, err := d.DialContext(ctx, "tcp", k.address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.connecting = false
	if err != nil {
		k.backOffUntil = time.Now().Add(backOffTime)
		k.log.Debug("host not reached for parts", "host", k.address, "error", err)
		return
	}
	setAckTimeout(raw)
	k.queue.Drain(nil)
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(raw), k)
	k.conn = c
	go k.writeLoop(ctx, c)
}

// writeLoop sends messages until the connection ends.
func (k *connection) writeLoop(ctx context.Context, c *jsonrpc2.Conn) {
	for {
		select {
		case <-k.queue.Ready():
		case <-c.DisconnectNotify():
			k.disconnected(c, errDisconnected)
			return
		case <-ctx.Done():
			_ = c.Close()
			k.disconnected(c, ctx.Err())
			return
		}
		for _, m := range k.queue.Drain(nil) {
			if err := c.Notify(ctx, m.method, m.body); err != nil {
				_ = c.Close()
				k.disconnected(c, err)
				return
			}
		}
	}
}

func (k *connection) disconnected(c *jsonrpc2.Conn, err error) {
	k.mu.Lock()
	if k.conn != c {
		k.mu.Unlock()
		return
	}
	k.conn = nil
	k.backOffUntil = time.Now().Add(backOffTime)
	open := k.pending
	k.pending = map[int]*pendingRequest{}
	k.mu.Unlock()
	k.log.Info("connection for parts lost", "host", k.address, "messages", len(open), "error", err)
	for _, r := range open {
		r.Broken(err)
	}
}

// Handle implements jsonrpc2.Handler.
func (k *connection) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method != methodResults || r.Params == nil {
		return
	}
	var m wire.Told
	err := json.Unmarshal(*r.Params, &m)
	var t Told
	if err == nil {
		t, err = decodeResults(m)
	}
	if err != nil {
		k.log.Warn("parts not readable", "host", k.address, "error", err)
		_ = c.Close()
		return
	}
	k.mu.Lock()
	p, ok := k.pending[m.Number]
	if ok {
		p.remaining -= len(t.Parts)
		if p.remaining <= 0 {
			delete(k.pending, m.Number)
		}
	}
	k.mu.Unlock()
	if ok {
		p.Told(t)
	}
}
