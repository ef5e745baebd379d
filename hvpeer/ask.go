package hvpeer

import (
	"context"
	"sync"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// CallAll sends a request to every connected peer at the same time and returns
// the answers by the name of the peer. Peers that do not answer within the
// call timeout are left out.
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

// Call sends a request to one peer.
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
