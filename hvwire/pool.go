package hvwire

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Pool keeps one connection to each process that is called, and dials again after
// one has ended. The peers make no calls on these connections.
type Pool struct {
	dialTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*Conn
}

// NewPool returns a Pool that takes at most dialTimeout to connect.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, conns: map[string]*Conn{}}
}

// Conn returns the connection to an address and dials if there is none.
func (p *Pool) Conn(ctx context.Context, addr string) (*Conn, error) {
	if c := p.existing(addr); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	c, err := Dial(ctx, addr, Mux{})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[addr]; other != nil && !other.ended() {
		// Another call has connected meanwhile.
		_ = c.Close()
		return other, nil
	}
	p.conns[addr] = c
	return c, nil
}

// existing returns the connection to an address, or nil if there is none.
func (p *Pool) existing(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c != nil && c.ended() {
		delete(p.conns, addr)
		return nil
	}
	return c
}

// drop closes and removes a connection on which a call timed out.
func (p *Pool) drop(addr string, c *Conn) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

func (c *Conn) ended() bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// CallPeer calls a method of the process at an address. A connection on which the
// call times out is closed, because its peer may have been lost without a sign.
func CallPeer[Resp any](ctx context.Context, p *Pool, addr, method string, timeout time.Duration, req any) (Resp, error) {
	var resp Resp
	c, err := p.Conn(ctx, addr)
	if err != nil {
		return resp, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err = Call[Resp](ctx, c, method, req)
	if err != nil && ctx.Err() != nil {
		p.drop(addr, c)
		return resp, &Error{Op: method, Kind: hv.Uncertain, Err: errors.Errorf("no response from %s", addr)}
	}
	return resp, err
}
