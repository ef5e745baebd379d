package hvpeer

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// link maintains the connection to one peer.
type link struct {
	addr   string
	peers  *Peers
	cancel context.CancelFunc
	// heartbeatNow requests a heartbeat before the next tick.
	heartbeatNow chan struct{}
	// name and conn are guarded by Peers.mu.
	name string
	conn *hvwire.Conn
}

func (l *link) stop() {
	if l.cancel != nil {
		l.cancel()
	}
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.connect(ctx); err != nil && ctx.Err() == nil {
			_ = level.Debug(l.peers.deps.Logger).Log("msg", "connection to peer gate failed; dialing again", "address", l.addr, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (l *link) connect(ctx context.Context) error {
	c, err := hvwire.Dial(ctx, l.addr, l.peers.deps.Mux)
	if err != nil {
		return err
	}
	defer c.Close()
	defer l.setConn(nil, "")
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for due := true; ; {
		// A heartbeat and its response inform both gates. There is a connection
		// in each direction, so heartbeats over one of the two are enough.
		if due || !l.peers.heardRecently(l.peerName()) {
			if err := l.heartbeat(ctx, c); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Done():
			return nil
		case <-tick.C:
			due = false
		case <-l.heartbeatNow:
			due = true
		}
	}
}

func (l *link) heartbeat(ctx context.Context, c *hvwire.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer, err := hvwire.Call[hvwire.PeerHeartbeat](ctx, c, hvwire.MethodPeerHeartbeat, l.peers.deps.Self())
	if err != nil {
		return err
	}
	l.setConn(c, peer.Name)
	l.peers.RecordHeartbeat(peer)
	return nil
}

// peerName returns the name of the peer, or an empty string before its first
// response.
func (l *link) peerName() string {
	l.peers.mu.Lock()
	defer l.peers.mu.Unlock()
	return l.name
}

func (l *link) setConn(c *hvwire.Conn, name string) {
	l.peers.mu.Lock()
	defer l.peers.mu.Unlock()
	l.conn, l.name = c, name
}
