package standin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuerill/internal/network"
)

// Server serves an HTTP handler at an IP address and port. It can be stopped
// and started again at the same address.
type Server struct {
	mu      sync.Mutex
	network network.Network
	handler http.Handler
	address string
	server  *http.Server
}

// Listen starts a TCP server for the handler at the IP address and port. Port 0
// selects a free port.
func Listen(address string, h http.Handler) (*Server, error) {
	return ListenOn(network.TCP{}, address, h)
}

// ListenOn is like Listen but listens on the network n.
func ListenOn(n network.Network, address string, h http.Handler) (*Server, error) {
	s := &Server{network: n, handler: h, address: address}
	return s, s.Start()
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Start listens at the server's address. Call it again only after Stop.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	server := &http.Server{
		Handler: s.handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError), ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connOpenedKey{}, time.Now())
		},
	}
	s.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
	}
}
