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

// loadTimeout ends a measurement whose gate does not load its streams.
const loadTimeout = time.Minute

// gate is a real control plane that owns all shards. It has loaded the streams
// of a fleet, and its clock stands still, so that its views stay confirmed.
type gate struct {
	*fleet
	mux   hvwire.Mux
	conns []*hvwire.Conn
	lists []hvwire.ListCache
	// far are the other ends of the connections, which nobody reads.
	far  []net.Conn
	stop context.CancelFunc
	wait sync.WaitGroup
}

func newGate(f *fleet) *gate {
	clock := &manualClock{start}
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
	// The keys stream has no owner to wait for.
	waitFor(func() bool { return g.beat(ctx, 0, 1).Grant != nil })
	return g
}

func waitFor(met func() bool) {
	for end := time.Now().Add(loadTimeout); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			panic("the gate does not load its streams")
		}
	}
}

func (g *gate) close() {
	for i, c := range g.conns {
		c.Close()
		g.far[i].Close()
	}
	g.stop()
	g.wait.Wait()
}

func (g *gate) announce(host int) {
	near, far := net.Pipe()
	c := hvwire.NewConn(near, g.mux)
	g.conns, g.far = append(g.conns, c), append(g.far, far)
	g.call(context.Background(), host, hvwire.MethodAnnounce, encode(hvwire.Announce{
		Host: g.hosts[host], Incarnation: sideOf(host), Service: serviceOf(host), Slots: 8, Connections: 64,
	}))
}

// call runs the handler of a method as the connection does after it has read
// the frame, and encodes the answer.
func (g *gate) call(ctx context.Context, host int, method string, params json.RawMessage) []byte {
	ans, err := g.mux[method](ctx, g.conns[host], params)
	if err != nil {
		panic(err)
	}
	return encode(ans)
}

// beat sends a heartbeat with what the side knows of the gate's lists.
func (g *gate) beat(ctx context.Context, host int, sequence uint64) hvwire.HeartbeatAck {
	sent := g.lists[host].OmitAttempts(heartbeat(host, sequence, g.attempts(host)))
	var ack hvwire.HeartbeatAck
	if err := json.Unmarshal(g.call(ctx, host, hvwire.MethodHeartbeat, encode(sent)), &ack); err != nil {
		panic(err)
	}
	return g.lists[host].RestoreSlots(sent, ack)
}

// Heartbeat returns the cost of one heartbeat at a gate that owns all shards:
// decoding, membership, renewals, key grant, placer and the encoded answer.
// Usage, which goes with every fifth heartbeat, is left out. The two forms
// alternate, so that the load of the machine falls on both alike.
func (f *fleet) Heartbeat() (whole, unchanged cost) {
	g := newGate(f)
	defer g.close()
	// The heartbeats before the measurement make the lists known.
	for h := range f.hosts {
		g.beat(context.Background(), h, 2)
	}
	var times, bytes [2][]float64
	for i := range 2 * repetitions {
		form := i % 2
		c := g.round(uint64(3+i), form == 1)
		times[form], bytes[form] = append(times[form], c.nanoseconds), append(bytes[form], c.bytes)
	}
	return cost{median(times[0]), median(bytes[0])}, cost{median(times[1]), median(bytes[1])}
}

// leastBeats is the number of heartbeats of a round of a small fleet, which is
// enough for the clock to resolve.
const leastBeats = 400

// round returns the cost of one of the heartbeats of all hosts.
func (g *gate) round(number uint64, unchanged bool) cost {
	var bodies [][]byte
	for i := uint64(0); len(bodies) < leastBeats; i++ {
		for h := range g.hosts {
			bodies = append(bodies, encode(g.next(h, number*leastBeats+i, unchanged)))
		}
	}
	c := once(func() {
		for i, b := range bodies {
			g.call(context.Background(), i%len(g.hosts), hvwire.MethodHeartbeat, b)
		}
	})
	n := float64(len(bodies))
	return cost{c.nanoseconds / n, c.bytes / n}
}

func (g *gate) next(host int, sequence uint64, unchanged bool) hvwire.Heartbeat {
	b := heartbeat(host, sequence, g.attempts(host))
	b.Usage = nil
	if unchanged {
		return g.lists[host].OmitAttempts(b)
	}
	return b
}

// log holds the streams of the fleet.
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
