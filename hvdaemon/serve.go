package hvdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which idle connections of callers are closed.
	idleTimeout = 60 * time.Second
	// cancelReserve is how long before the end of a graceful shutdown the contexts of
	// requests end. It is left for their responses.
	cancelReserve = 400 * time.Millisecond
	// unusedReserve is how long a graceful shutdown waits for the first request on a
	// connection, such as one that a balancer has opened in advance.
	unusedReserve = 500 * time.Millisecond
)

// Server is an HTTP server on one address.
type Server struct {
	http     *http.Server
	listener net.Listener
	logger   log.Logger
	// cancelRequests ends the contexts of all requests.
	cancelRequests context.CancelFunc

	mu sync.Mutex
	// unused holds the connections on which no request has arrived.
	unused map[net.Conn]bool
}

// Listen binds an address and returns a server for it.
func Listen(addr string, h http.Handler, logger log.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, logger: logger, cancelRequests: cancel, unused: map[net.Conn]bool{}}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx }, ConnState: s.connState,
	}
	return s, nil
}

// connState keeps the set of unused connections.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = true
		return
	}
	delete(s.unused, c)
}

// closeUnused closes the unused connections. The graceful shutdown of net/http would
// wait for them for 5 s.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		_ = c.Close()
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves requests until Stop is called.
func (s *Server) Serve() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(s.logger).Log("msg", "HTTP server failed", "addr", s.listener.Addr(), "err", err)
	}
}

// DisableKeepAlives closes connections after their current request, so that
// callers open new connections for their next requests.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// Stop closes the listener and waits until the requests in progress have ended
// or ctx ends. Shortly before, it ends the contexts of requests that are still held, so
// that their callers get a response; connections that remain are closed.
func (s *Server) Stop(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)-cancelReserve, s.cancelRequests)
		defer timer.Stop()
	}
	timer := time.AfterFunc(unusedReserve, s.closeUnused)
	defer timer.Stop()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = level.Warn(s.logger).Log("msg", "graceful shutdown of the HTTP server was incomplete", "addr", s.listener.Addr(), "err", err)
		_ = s.http.Close()
	}
}

// ServeWire binds an address and accepts hvwire connections of gates and sides there until
// ctx ends.
func ServeWire(ctx context.Context, addr string, mux hvwire.Mux, logger log.Logger) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ServeWireListener(ctx, l, mux, logger)
	return nil
}

// ServeWireListener accepts hvwire connections of gates and sides from a listener, which it
// closes when ctx ends.
func ServeWireListener(ctx context.Context, l net.Listener, mux hvwire.Mux, logger log.Logger) {
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				if ctx.Err() == nil {
					_ = level.Error(logger).Log("msg", "accepting connections failed", "addr", l.Addr(), "err", err)
				}
				return
			}
			hvwire.NewConn(nc, mux)
		}
	}()
}

// MetricsHandler returns a handler that serves the metrics of a process.
func MetricsHandler(m *hvmetric.Registry, logger log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := m.Write(w); err != nil {
			_ = level.Debug(logger).Log("msg", "writing the metrics response failed", "err", err)
		}
	})
}
