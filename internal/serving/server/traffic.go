package server

import (
	"context"
	"log/slog"
	"time"
)

// trafficInterval is the interval at which the traffic of a host is logged.
const trafficInterval = 5 * time.Second

// logTrafficLoop logs the bytes sent and received since the start, periodically and when
// ctx ends.
func (s *Server) logTrafficLoop(ctx context.Context) {
	t := time.NewTicker(trafficInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		s.logTraffic()
	}
}

func (s *Server) logTraffic() {
	var counts []slog.Attr
	s.meter.Each(func(name string, count int64) { counts = append(counts, slog.Int64(name, count)) })
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "traffic", counts...)
}
