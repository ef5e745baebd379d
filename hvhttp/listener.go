package hvhttp

import (
	"net"
	"sync"
)

// MaxConnections bounds the connections of one server.
const MaxConnections = 4096

// limitListener closes connections beyond a limit at once, so that callers
// turn to another gate instead of waiting.
type limitListener struct {
	net.Listener
	free chan struct{}
}

// LimitConnections returns a listener that keeps up to limit connections open.
func LimitConnections(l net.Listener, limit int) net.Listener {
	return &limitListener{Listener: l, free: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.free })}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
