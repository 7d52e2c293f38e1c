package relay

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/network/frame"
	"fescuerill/internal/observe/traffic"
	wire "fescuerill/internal/schema/relay"
	"fescuerill/internal/serving/exchange"
)

// SendFunc sends a part to a target and waits for the result. It calls left for the time
// that remains when the part can be written.
type SendFunc func(ctx context.Context, target string, req *exchange.Request, left func() time.Duration) exchange.Reply

// Serve accepts connections of other hosts and sends parts on their behalf until ctx ends.
// The bytes of these connections are counted in meter.
func Serve(ctx context.Context, l net.Listener, send SendFunc, log *slog.Logger, meter *traffic.Meter) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		raw, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				log.Error("accept relay connection failed; no further connections are accepted", "error", err)
			}
			return
		}
		s := &session{send: send, log: log, cancels: map[int]context.CancelFunc{}}
		s.ctx, s.cancel = context.WithCancel(ctx)
		setAckTimeout(raw)
		s.stream = newStream(meter.Conn(raw, traffic.Relay, traffic.Remote), s.handleData)
		c := readMessages(s.ctx, s.stream)
		go func() {
			select {
			case <-c.DisconnectNotify():
			case <-s.ctx.Done():
				_ = c.Close()
			}
			s.cancel()
		}()
	}
}

// session is a connection from another host.
type session struct {
	send   SendFunc
	log    *slog.Logger
	stream *frame.Stream
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// cancels holds the cancel function of each request in flight by message number.
	cancels map[int]context.CancelFunc
}

// handleData handles a message. An error closes the connection.
func (s *session) handleData(k frame.Kind, body []byte) error {
	switch k {
	case kindRequest:
		var m wire.Request
		if _, err := m.UnmarshalMsg(body); err != nil {
			s.log.Warn("invalid relay request", "error", err)
			return errors.Wrap(err, "decode relay request")
		}
		s.handleRequest(m)
	case kindCancel:
		var m wire.Cancel
		if _, err := m.UnmarshalMsg(body); err != nil {
			s.log.Warn("invalid relay cancellation", "error", err)
			return errors.Wrap(err, "decode relay cancellation")
		}
		s.mu.Lock()
		cancel := s.cancels[m.Number]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	default:
		return frame.ErrUnexpectedKind
	}
	return nil
}

// handleRequest sends the parts of a request to their targets.
func (s *session) handleRequest(m wire.Request) {
	req := decodeRequest(time.Now(), m)
	if len(req.Targets) == 0 {
		s.log.Warn("relay request without parts", "id", m.ID)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancels[m.Number] = cancel
	s.mu.Unlock()
	results := make(chan PartResult, len(req.Targets))
	for i, target := range req.Targets {
		go func() {
			start := time.Now()
			reply := s.send(ctx, target, req.CallerRequest, req.timeLeft)
			results <- PartResult{Index: i, Reply: reply, Elapsed: time.Since(start)}
		}()
	}
	go func() {
		s.collect(m.Number, req, results)
		req.CallerRequest.End()
		s.mu.Lock()
		delete(s.cancels, m.Number)
		s.mu.Unlock()
		cancel()
	}()
}

// timeLeft returns the time limit of a part that is sent now.
func (req *Request) timeLeft() time.Duration {
	now := time.Now()
	if !req.SoftDeadline.IsZero() && now.Before(req.SoftDeadline) {
		return req.SoftDeadline.Sub(now)
	}
	return req.Deadline.Sub(now)
}

// collect sends the results of a request back in the batches of a Collector.
func (s *session) collect(number int, req Request, results <-chan PartResult) {
	var collector Collector
	collector.Reset(len(req.Targets), req.FlushTime, req.MaxRecords)
	timer := time.NewTimer(time.Until(req.FlushTime))
	defer timer.Stop()
	for collector.Pending() > 0 {
		ready := false
		select {
		case p := <-results:
			ready = collector.Add(time.Now(), p)
		case <-timer.C:
			ready = collector.Flush()
		}
		if !ready {
			continue
		}
		message := encodeResults(number, collector.Take())
		if err := s.stream.WriteData(kindResults, &message); err != nil {
			s.log.Debug("send relay results failed", "error", err)
			return
		}
	}
}
