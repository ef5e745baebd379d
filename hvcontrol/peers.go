package hvcontrol

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvpeer"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// peerHeartbeatTimeout is the time without a heartbeat after which a gate is
	// no longer considered live.
	peerHeartbeatTimeout = 3 * time.Second
	// roundInterval is how often a gate that cannot reach the log confirms its
	// known state of the streams with the others. Several rounds fit into a
	// lease, so that single rounds may fail.
	roundInterval = time.Second
)

// callAllPeers calls all peers and returns their responses by name. Before New
// has returned there are no peers.
func callAllPeers[Resp any](ctx context.Context, c *Control, method string, req any) map[string]Resp {
	if c.peers == nil {
		return nil
	}
	return hvpeer.CallAll[Resp](ctx, c.peers, method, req)
}

// selfHeartbeat returns the heartbeat that this gate sends to its peers.
func (c *Control) selfHeartbeat() hvwire.PeerHeartbeat {
	p := hvwire.PeerHeartbeat{
		Name: c.conf.Name, Incarnation: c.conf.Incarnation, SettingsVersion: c.settings.Current().Number,
		LogReachable: c.quorum.LogReachable(), NextKeysOffset: -1,
	}
	p.NoSides = len(c.Members.Alive()) == 0
	c.mu.Lock()
	p.Leaving = c.leaving
	c.mu.Unlock()
	if next, ok := c.quorum.Epoch(hvquorum.KeysStream); ok {
		p.NextKeysOffset = hv.Offset(next)
	}
	for i := range hvtask.Shards {
		epoch, ok := c.quorum.Epoch(hvshard.StreamName(i))
		if !ok {
			// The index in the list is the shard number, so no shard can be
			// omitted.
			p.Epochs = nil
			break
		}
		p.Epochs = append(p.Epochs, epoch)
	}
	return p
}

// onPeerHeartbeat records the heartbeat of another gate. If that gate has newer
// settings and the log is unreachable, the settings are fetched from a peer.
func (c *Control) onPeerHeartbeat(p hvwire.PeerHeartbeat) {
	c.Members.PeerHeartbeat(p)
	c.quorum.RecordHeartbeat(p, hvshard.StreamName)
	if p.SettingsVersion > c.settings.Current().Number && !c.settingsStream.follower.Status().Reachable {
		go c.settingsStream.follower.SyncFromPeer(context.Background())
	}
}

func (c *Control) servePeerHeartbeat(_ context.Context, _ *hvwire.Conn, p hvwire.PeerHeartbeat) (hvwire.PeerHeartbeat, error) {
	c.peers.RecordHeartbeat(p)
	return c.selfHeartbeat(), nil
}

func (c *Control) serveConfirm(_ context.Context, _ *hvwire.Conn, q hvwire.Confirm) (hvwire.ConfirmAck, error) {
	return c.quorum.Confirm(q), nil
}

// serveFetch returns the settings or a snapshot of a stream.
func (c *Control) serveFetch(_ context.Context, _ *hvwire.Conn, f hvwire.Fetch) (hvwire.StreamState, error) {
	if f.Stream == settingsStreamName {
		return c.settingsState(f.After)
	}
	for _, s := range c.allStreams() {
		if s.name != f.Stream {
			continue
		}
		if next := s.follower.Status().Next; next <= f.After {
			return hvwire.StreamState{Next: next}, nil
		}
		next, body, err := s.follower.Snapshot()
		return hvwire.StreamState{Next: next, Body: body}, err
	}
	return hvwire.StreamState{}, errorf("fetch", hv.NotFound, "stream %q does not exist", f.Stream)
}

// settingsStreamName is the stream name that sides use to fetch settings. A side
// receives only the current version, not the state of the stream.
const settingsStreamName = "settings"

func (c *Control) settingsState(after hv.Offset) (hvwire.StreamState, error) {
	current := c.settings.Current()
	if current.Number <= after {
		return hvwire.StreamState{Version: current.Number}, nil
	}
	body, err := c.settings.Snapshot()
	return hvwire.StreamState{Version: current.Number, Body: body}, err
}

// runMajorityRounds confirms the known state of the key slots and of the owned
// shards by majority rounds while the log is unreachable.
func (c *Control) runMajorityRounds(ctx context.Context) {
	hvtick.Every(ctx, roundInterval, func() {
		if c.quorum.LogReachable() {
			return
		}
		for i, o := range c.owners {
			if _, ok := o.Owns(); ok {
				c.majorityRound(ctx, c.shardStreams[i])
			}
		}
		c.majorityRound(ctx, c.keysStream)
	})
}

// majorityRound asks all peers to confirm the known state of a stream. If a peer
// is ahead, the follower catches up from the peers.
func (c *Control) majorityRound(ctx context.Context, s *stream) {
	request := c.quorum.BeginRound(s.name)
	ahead := false
	for name, ack := range callAllPeers[hvwire.ConfirmAck](ctx, c, hvwire.MethodConfirm, request) {
		if c.quorum.RecordResponse(s.name, name, ack) {
			ahead = true
		}
	}
	if ahead {
		s.follower.SyncFromPeer(ctx)
	}
}

// setGates passes the gates of this region in the settings to the quorum tracker
// and the peers.
func (c *Control) setGates(s *hvconf.Settings) {
	names, addrs := []string{}, []string{}
	for name, g := range s.Gates {
		if s.Zones[g.Zone].Region != c.conf.Region {
			continue
		}
		names = append(names, name)
		if name != c.conf.Name {
			addrs = append(addrs, g.Address)
		}
	}
	if len(names) == 0 {
		return
	}
	c.quorum.SetGates(names)
	c.peers.SetAddresses(addrs)
}

// SetSeedAddresses replaces the addresses of the gates to contact before the
// first publication.
func (c *Control) SetSeedAddresses(addrs []string) {
	if c.settings.Current().Number == 0 {
		c.peers.SetAddresses(addrs)
	}
}
