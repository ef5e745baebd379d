package hvagent

import (
	"context"
	"slices"
	"sync"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// gates maintains one link to each gate.
type gates struct {
	agent  *Agent
	reload chan struct{}

	mu    sync.Mutex
	links map[string]*link
	wg    sync.WaitGroup
}

// maxGates bounds the connections of a side.
const maxGates = 64

func newGates(a *Agent) *gates {
	return &gates{agent: a, reload: make(chan struct{}, 1), links: map[string]*link{}}
}

// set starts links to gates that are new and stops those to gates that are no
// longer listed.
func (g *gates) set(ctx context.Context, addresses []string) {
	if len(addresses) > maxGates {
		addresses = addresses[:maxGates]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, l := range g.links {
		if !slices.Contains(addresses, address) {
			l.stop()
			delete(g.links, address)
		}
	}
	for _, address := range addresses {
		if g.links[address] != nil || ctx.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		l := newLink(g.agent, address, stop)
		g.links[address] = l
		g.wg.Go(func() { l.run(ctx) })
	}
}

// all returns the links to all gates.
func (g *gates) all() []*link {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*link, 0, len(g.links))
	for _, l := range g.links {
		all = append(all, l)
	}
	return all
}

// connected returns the connections on which the side has been announced.
func (g *gates) connected() []*hvwire.Conn {
	var conns []*hvwire.Conn
	for _, l := range g.all() {
		if c := l.current(); c != nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// wait waits until all links have ended.
func (g *gates) wait() { g.wg.Wait() }
