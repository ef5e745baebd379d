package hvpeer

import (
	"context"
	"sync"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// CallAll sends a request to all connected peers in parallel and returns the
// responses by the name of the peer. It omits peers whose call fails or exceeds
// the call timeout.
func CallAll[Resp any](ctx context.Context, p *Peers, method string, req any) map[string]Resp {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		mu        sync.Mutex
		wg        sync.WaitGroup
		responses = map[string]Resp{}
	)
	for name, c := range p.conns() {
		wg.Go(func() {
			resp, err := hvwire.Call[Resp](ctx, c, method, req)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses[name] = resp
		})
	}
	wg.Wait()
	return responses
}

// Call sends a request to one peer. It returns false if the peer is not connected
// or the call fails.
func Call[Resp any](ctx context.Context, p *Peers, name, method string, req any) (Resp, bool) {
	c, ok := p.conns()[name]
	if !ok {
		var zero Resp
		return zero, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := hvwire.Call[Resp](ctx, c, method, req)
	return resp, err == nil
}

// conns returns the connections to other gates by the name of the gate.
func (p *Peers) conns() map[string]*hvwire.Conn {
	self := p.deps.Self().Name
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := map[string]*hvwire.Conn{}
	for _, l := range p.links {
		if l.conn != nil && l.name != "" && l.name != self {
			conns[l.name] = l.conn
		}
	}
	return conns
}
