// Package hvcontrol implements the control plane of a gate: log streams, shard
// ownership, key slots, settings and peers.
package hvcontrol

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvpeer"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Config identifies the gate.
type Config struct {
	Name        string
	Incarnation string
	Region      string
	// SeedAddresses are the internal addresses of the other gates to contact
	// before the first publication of settings.
	SeedAddresses []string
}

// Deps are the dependencies of the control plane.
type Deps struct {
	Log     hv.Log
	Clock   hv.Clock
	Members *hvmember.Table
	Placer  hv.Placer
	Health  *hvhealth.Health
	Logger  log.Logger
	// Mux dispatches the calls of sides and gates.
	Mux        hvwire.Mux
	Violations func(invariant int, message string)
	// OnSettingsApplied, if not nil, is called with every version of the
	// settings that takes effect.
	OnSettingsApplied func(hvconf.Version)
}

// Control is the control plane of one gate.
type Control struct {
	conf Config
	Deps

	quorum    *hvquorum.Tracker
	peers     *hvpeer.Peers
	settings  *hvconf.Store
	keyTable  *hvkey.Table
	shards    []*hvtask.Shard
	owners    []*hvshard.Owner
	messenger *messenger

	settingsStream *stream
	keysStream     *stream
	shardStreams   []*stream

	// startedAt is when the control plane was created.
	startedAt time.Time

	mu      sync.Mutex
	leaving bool
	// placerHosts holds the hosts that were passed to the placer.
	placerHosts map[string]bool
	// sideSets holds, by service, the last set of active sides and the time of
	// its last change.
	sideSets map[string]sideSet
}

// New returns the control plane and registers its methods with the mux.
func New(conf Config, deps Deps) *Control {
	c := &Control{conf: conf, Deps: deps, startedAt: deps.Clock.Now(), placerHosts: map[string]bool{}, sideSets: map[string]sideSet{}}
	c.quorum = hvquorum.New(hvquorum.Config{
		Gate: conf.Name, Incarnation: conf.Incarnation, LeaseDuration: hv.LeaseDuration, ClockMargin: hv.ClockMargin,
	}, deps.Clock, []string{conf.Name})
	c.settings = hvconf.NewStore(deps.Violations)
	c.keyTable = hvkey.NewTable(deps.Violations)
	c.messenger = newMessenger(c)
	c.newStreams()
	c.newOwners()
	c.peers = hvpeer.New(hvpeer.Deps{
		Clock: deps.Clock, Logger: deps.Logger, Mux: deps.Mux, Self: c.selfHeartbeat, OnHeartbeat: c.onPeerHeartbeat,
	})
	// A heartbeat acknowledges moves of key slots, for which the other gates
	// wait, so it is sent as soon as the stream advances.
	c.keysStream.onAdvance = c.peers.SendHeartbeats
	c.peers.SetAddresses(conf.SeedAddresses)
	c.registerHandlers()
	return c
}

func (c *Control) newOwners() {
	for i := range hvtask.Shards {
		c.owners = append(c.owners, hvshard.New(
			hvshard.Config{
				Gate: c.conf.Name, Incarnation: c.conf.Incarnation, Shard: i,
				LeaseDuration: hv.LeaseDuration, ClockMargin: hv.ClockMargin,
			},
			hvshard.Deps{
				Clock: c.Clock, States: c.shards, Quorum: c.quorum, Log: c.shardStreams[i], Placer: c.Placer, Health: c.Health,
				Hosts: c.messenger, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			}))
	}
}

// releaseTimeout bounds how long a graceful stop waits for the release of the
// shards. Without a release the next owner waits for the heartbeat timeout.
const releaseTimeout = 3 * time.Second

// Run runs the control plane until ctx ends, then releases the shards.
func (c *Control) Run(ctx context.Context) {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	start := func(f func(context.Context)) { wg.Go(func() { f(serving) }) }
	for _, s := range c.allStreams() {
		start(s.run)
	}
	start(c.runOwners)
	start(c.peers.Run)
	start(c.applySettings)
	start(c.runMajorityRounds)
	start(c.assignSlots)
	start(c.removeLostHosts)
	start(c.messenger.run)
	<-ctx.Done()
	c.releaseShards()
	stop()
	wg.Wait()
}

// runOwners starts the shard owners once the settings name this gate and the
// heartbeat timeout has passed, so that heartbeats of the other gates can arrive.
// Without the wait each gate would claim the shards of the others.
func (c *Control) runOwners(ctx context.Context) {
	for !c.isMember() {
		changed := c.settings.Changed()
		if c.isMember() {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(peerHeartbeatTimeout):
	}
	var wg sync.WaitGroup
	for _, o := range c.owners {
		wg.Go(func() { o.Run(ctx) })
	}
	wg.Wait()
}

func (c *Control) allStreams() []*stream {
	return append([]*stream{c.settingsStream, c.keysStream}, c.shardStreams...)
}

// releaseShards steps down from all shards and waits until the releases are
// read back from the log, for at most releaseTimeout.
func (c *Control) releaseShards() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for _, o := range c.owners {
		o.StepDown()
	}
	end := time.Now().Add(releaseTimeout)
	for time.Now().Before(end) && c.OwnedShards() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
}

// OwnedShards returns the number of shards that this gate owns.
func (c *Control) OwnedShards() int {
	n := 0
	for _, o := range c.owners {
		if _, ok := o.Owns(); ok {
			n++
		}
	}
	return n
}

// Ready returns an error with the reason while the gate cannot serve, or nil.
func (c *Control) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return errorf("ready", hv.Unavailable, "the gate is draining")
	}
	if !c.settingsStream.follower.Status().Loaded {
		return errorf("ready", hv.Unavailable, "the settings are not loaded")
	}
	return nil
}

// Current returns the version of the settings in effect.
func (c *Control) Current() hvconf.Version { return c.settings.Current() }

var _ hvlog.Applier = (*hvkey.Table)(nil)
