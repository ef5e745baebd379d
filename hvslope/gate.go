package hvslope

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvcontrol"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvlog/hvlogtest"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvplace"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// loadTimeout bounds the wait for the gate to load its streams.
const loadTimeout = time.Minute

// gate is a real control plane that owns all shards and has loaded the streams
// of a fleet. Its clock does not advance, so its state stays confirmed.
type gate struct {
	*fleet
	mux   hvwire.Mux
	conns []*hvwire.Conn
	lists []hvwire.ListCache
	// remoteConns are the other ends of the connections. Nothing reads them.
	remoteConns []net.Conn
	stop        context.CancelFunc
	wait        sync.WaitGroup
}

func newGate(f *fleet) *gate {
	clock := &manualClock{startTime}
	g := &gate{fleet: f, mux: hvwire.Mux{}, lists: make([]hvwire.ListCache, len(f.hosts))}
	members := hvmember.New(clock)
	control := hvcontrol.New(
		hvcontrol.Config{Name: gateName, Incarnation: owner, Region: region},
		hvcontrol.Deps{
			Log: f.log(clock), Clock: clock, Members: members,
			Placer: hvplace.New(hvplace.Options{Clock: clock, Prefer: hv.Throughput, Seed: 1, Violations: violation}),
			Health: hvhealth.New(hvhealth.Options{HostCount: func() int { return len(f.hosts) }}),
			Logger: log.NewNopLogger(), Mux: g.mux, Violations: violation,
		})
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.wait.Go(func() { control.Run(ctx) })
	waitFor(func() bool { return control.Ready() == nil && control.OwnedShards() == hvtask.Shards })
	for i := range f.hosts {
		g.announce(i)
	}
	// The keys stream has no owner, so Owned does not cover it, and an owned shard renews
	// only once it is confirmed: wait until the gate grants key slots and renews all.
	waitFor(func() bool {
		ack := g.sendHeartbeat(ctx, 0, 1)
		return ack.Grant != nil && len(ack.Renewals) == len(g.shardsOf(0))
	})
	return g
}

// shardsOf returns the shards with attempts on a host.
func (g *gate) shardsOf(host int) map[int]bool {
	out := map[int]bool{}
	for _, a := range g.attempts(host) {
		out[a.Shard] = true
	}
	return out
}

func waitFor(condition func() bool) {
	for deadline := time.Now().Add(loadTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic("gate did not load its streams in time")
		}
	}
}

func (g *gate) close() {
	for i, c := range g.conns {
		c.Close()
		g.remoteConns[i].Close()
	}
	g.stop()
	g.wait.Wait()
}

func (g *gate) announce(host int) {
	local, remote := net.Pipe()
	c := hvwire.NewConn(local, g.mux)
	g.conns, g.remoteConns = append(g.conns, c), append(g.remoteConns, remote)
	g.call(context.Background(), host, hvwire.MethodAnnounce, encode(hvwire.Announce{
		Host: g.hosts[host], Incarnation: sideOf(host), Service: serviceOf(host), Slots: 8, Connections: 64,
	}))
}

// call runs the handler of a method, as the connection does after it has read
// the frame, and encodes the response.
func (g *gate) call(ctx context.Context, host int, method string, params json.RawMessage) []byte {
	response, err := g.mux[method](ctx, g.conns[host], params)
	if err != nil {
		panic(err)
	}
	return encode(response)
}

// sendHeartbeat sends a heartbeat that omits the lists that the gate has, and
// restores the lists that the response omits.
func (g *gate) sendHeartbeat(ctx context.Context, host int, sequence uint64) hvwire.HeartbeatAck {
	sent := g.lists[host].OmitAttempts(heartbeat(host, sequence, g.attempts(host)))
	var ack hvwire.HeartbeatAck
	if err := json.Unmarshal(g.call(ctx, host, hvwire.MethodHeartbeat, encode(sent)), &ack); err != nil {
		panic(err)
	}
	return g.lists[host].RestoreSlots(sent, ack)
}

// HeartbeatCosts returns the cost of one heartbeat at a gate that owns all
// shards, with full and with unchanged lists: decoding, membership, renewals,
// key grant, placer and encoding of the response. Usage, which every fifth
// heartbeat has, is omitted. The two variants alternate, so that other load on
// the machine affects both alike.
func (f *fleet) HeartbeatCosts() (full, unchanged cost) {
	g := newGate(f)
	defer g.close()
	// After these heartbeats, gate and sides have each other's lists.
	for h := range f.hosts {
		g.sendHeartbeat(context.Background(), h, 2)
	}
	var times, bytes [2][]float64
	for i := range 2 * repetitions {
		variant := i % 2
		c := g.measureRound(uint64(3+i), variant == 1)
		times[variant], bytes[variant] = append(times[variant], c.nanoseconds), append(bytes[variant], c.bytes)
	}
	return cost{median(times[0]), median(bytes[0])}, cost{median(times[1]), median(bytes[1])}
}

// minHeartbeats is the least number of heartbeats in a round. A round of so many
// takes long enough for the resolution of the clock, also in a small fleet.
const minHeartbeats = 400

// measureRound returns the mean cost of a heartbeat in a round of heartbeats of
// all hosts.
func (g *gate) measureRound(round uint64, unchanged bool) cost {
	var bodies [][]byte
	for i := uint64(0); len(bodies) < minHeartbeats; i++ {
		for h := range g.hosts {
			bodies = append(bodies, encode(g.nextHeartbeat(h, round*minHeartbeats+i, unchanged)))
		}
	}
	c := measureOnce(func() {
		for i, b := range bodies {
			g.call(context.Background(), i%len(g.hosts), hvwire.MethodHeartbeat, b)
		}
	})
	n := float64(len(bodies))
	return cost{c.nanoseconds / n, c.bytes / n}
}

func (g *gate) nextHeartbeat(host int, sequence uint64, unchanged bool) hvwire.Heartbeat {
	b := heartbeat(host, sequence, g.attempts(host))
	b.Usage = nil
	if unchanged {
		return g.lists[host].OmitAttempts(b)
	}
	return b
}

// log returns a log with the streams of the fleet.
func (f *fleet) log(clock hv.Clock) *hvlogtest.Log {
	l := hvlogtest.New(clock, 1)
	sequence := 0
	add := func(stream, kind string, body any) {
		sequence++
		if _, err := l.Append(context.Background(), stream, recordOf(kind, sequence, body)); err != nil {
			panic(err)
		}
	}
	add(hvconf.Stream, hvconf.KindPublish, f.publication(1))
	for _, m := range f.keyMoves() {
		add(region+"."+hvquorum.KeysStream, hvkey.KindMove, m)
	}
	for shard := range hvtask.Shards {
		for _, ops := range f.shardOps(shard) {
			add(region+"."+hvshard.StreamName(shard), hvtask.KindOps, ops)
		}
	}
	return l
}
