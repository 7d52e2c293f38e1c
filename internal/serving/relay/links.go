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
	// silentTimeout ends a connection whose peer acknowledges nothing.
	silentTimeout = time.Second
	// restTime is how long a host is left alone that failed.
	restTime = time.Second
	// waitingMost is the number of messages that wait to be written.
	waitingMost = 1024
)

var errBroken = errors.New("connection to the host is broken")

// ResultHandler takes what becomes of an Ask. Its methods do not block.
type ResultHandler interface {
	// HandleResults takes parts that have ended.
	HandleResults(t Results)
	// HandleFailure takes that the parts that were not told of have no answer.
	HandleFailure(err error)
}

// Connections are the connections to hosts. Reset it before use. Its methods may be
// called from several goroutines.
type Connections struct {
	ctx   context.Context
	log   *slog.Logger
	mu    sync.Mutex
	links map[string]*link
}

// Reset makes the links empty; they end with ctx.
func (l *Connections) Reset(ctx context.Context, log *slog.Logger) {
	l.ctx, l.log, l.links = ctx, log, map[string]*link{}
}

// link is the connection to one host.
type link struct {
	address string
	log     *slog.Logger
	out     ring.Ring[message]

	mu         sync.Mutex
	conn       *jsonrpc2.Conn
	rest       time.Time
	connecting bool
	number     int
	open       map[int]*pending
}

type message struct {
	method string
	body   any
}

// Ready reports whether parts can be asked through the host now. If there is no
// connection, one is opened meanwhile.
func (l *Connections) Ready(address string) bool {
	l.mu.Lock()
	k := l.links[address]
	if k == nil {
		k = &link{address: address, log: l.log, open: map[int]*pending{}}
		k.out.Reset(waitingMost)
		l.links[address] = k
	}
	l.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil && !k.connecting && time.Now().After(k.rest) {
		k.connecting = true
		go k.connect(l.ctx)
	}
	return k.conn != nil && time.Now().After(k.rest)
}

// Send asks the host for parts. It returns a function that ends them and reports
// whether some had not been told of, or false if the host cannot be asked.
func (l *Connections) Send(address string, a Request, r ResultHandler) (func() bool, bool) {
	l.mu.Lock()
	k := l.links[address]
	l.mu.Unlock()
	if k == nil {
		return nil, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil {
		return nil, false
	}
	k.number++
	number := k.number
	if !k.out.Push(message{methodAsk, encodeAsk(time.Now(), number, a)}) {
		return nil, false
	}
	k.open[number] = &pending{ResultHandler: r, left: len(a.Targets)}
	return func() bool { return k.cancel(number) }, true
}

// pending counts the parts that were not told of.
type pending struct {
	ResultHandler
	left int
}

func (k *link) cancel(number int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[number] == nil {
		return false
	}
	delete(k.open, number)
	k.out.Push(message{methodCancel, wire.Cancel{Number: number}})
	return true
}

// BackOff leaves a host alone for a while.
func (l *Connections) BackOff(address string) {
	l.mu.Lock()
	k := l.links[address]
	l.mu.Unlock()
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rest = time.Now().Add(restTime)
}

// bound lets a connection end whose peer acknowledges nothing.
func bound(raw net.Conn) {
	t, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
}

func (k *link) connect(ctx context.Context) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	raw, err := d.DialContext(ctx, "tcp", k.address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.connecting = false
	if err != nil {
		k.rest = time.Now().Add(restTime)
		k.log.Debug("host not reached for parts", "host", k.address, "error", err)
		return
	}
	bound(raw)
	k.out.Drain(nil)
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(raw), k)
	k.conn = c
	go k.write(ctx, c)
}

// write sends messages until the connection ends.
func (k *link) write(ctx context.Context, c *jsonrpc2.Conn) {
	for {
		select {
		case <-k.out.Ready():
		case <-c.DisconnectNotify():
			k.broken(c, errBroken)
			return
		case <-ctx.Done():
			_ = c.Close()
			k.broken(c, ctx.Err())
			return
		}
		for _, m := range k.out.Drain(nil) {
			if err := c.Notify(ctx, m.method, m.body); err != nil {
				_ = c.Close()
				k.broken(c, err)
				return
			}
		}
	}
}

func (k *link) broken(c *jsonrpc2.Conn, err error) {
	k.mu.Lock()
	if k.conn != c {
		k.mu.Unlock()
		return
	}
	k.conn = nil
	k.rest = time.Now().Add(restTime)
	open := k.open
	k.open = map[int]*pending{}
	k.mu.Unlock()
	k.log.Info("connection for parts lost", "host", k.address, "messages", len(open), "error", err)
	for _, r := range open {
		r.HandleFailure(err)
	}
}

// Handle implements jsonrpc2.Handler.
func (k *link) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method != methodTold || r.Params == nil {
		return
	}
	var m wire.Results
	err := json.Unmarshal(*r.Params, &m)
	var t Results
	if err == nil {
		t, err = decodeTold(m)
	}
	if err != nil {
		k.log.Warn("parts not readable", "host", k.address, "error", err)
		_ = c.Close()
		return
	}
	k.mu.Lock()
	p, ok := k.open[m.Number]
	if ok {
		p.left -= len(t.Parts)
		if p.left <= 0 {
			delete(k.open, m.Number)
		}
	}
	k.mu.Unlock()
	if ok {
		p.HandleResults(t)
	}
}
