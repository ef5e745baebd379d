package hvhttp

import (
	"net"
	"sync"
)

// MaxConnections is the maximum number of open connections of one server.
const MaxConnections = 4096

// limitListener closes connections beyond a limit immediately, so that callers
// connect to another gate instead of waiting.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

// LimitConnections returns a listener with at most limit open connections.
func LimitConnections(l net.Listener, limit int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
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
