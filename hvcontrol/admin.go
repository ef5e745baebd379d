package hvcontrol

import (
	"context"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhttp"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

var _ hvhttp.Admin = (*Admin)(nil)

// Admin implements the admin API.
type Admin struct{ control *Control }

// Admin returns the part of the control plane that operators use.
func (c *Control) Admin() *Admin { return &Admin{control: c} }

// Settings implements hvhttp.Admin.
func (a *Admin) Settings(context.Context) (hvhttp.Settings, error) {
	v := a.control.settings.Current()
	return hvhttp.Settings{Version: v.Number, Author: v.Author, Files: a.control.settings.Files()}, nil
}

// Publish implements hvhttp.Admin.
func (a *Admin) Publish(ctx context.Context, p hvhttp.Publication) (hv.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return a.control.publish(ctx, hvconf.Publication{Base: p.Base, Author: p.Author, Files: p.Files})
}

// Status is the document of /admin/status.
type Status struct {
	Gate            string        `json:"gate"`
	SettingsVersion hv.Offset     `json:"version"`
	LogReachable    bool          `json:"log"`
	Gates           []string      `json:"gates"`
	Shards          []ShardStatus `json:"shards"`
	Hosts           []HostStatus  `json:"hosts"`
}

// ShardStatus is the state of one shard.
type ShardStatus struct {
	Shard  int    `json:"shard"`
	Owner  string `json:"owner,omitempty"`
	Epoch  int64  `json:"epoch"`
	Queued int    `json:"queued"`
	// Confirmed is true if this gate owns the shard and may renew task leases.
	Confirmed bool `json:"confirmed,omitempty"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host            string       `json:"host"`
	Zone            string       `json:"zone"`
	Rack            string       `json:"rack,omitempty"`
	Service         string       `json:"service,omitempty"`
	Running         int          `json:"running"`
	Waiting         int          `json:"waiting"`
	Tasks           int          `json:"tasks"`
	Committed       hv.Resources `json:"committed"`
	Capacity        hv.Resources `json:"capacity"`
	SettingsVersion hv.Offset    `json:"version"`
	Leaving         bool         `json:"leaving,omitempty"`
	// Healthy is false for a host in quarantine.
	Healthy bool `json:"healthy"`
}

// Status implements hvhttp.Admin.
func (a *Admin) Status(context.Context) (any, error) {
	c := a.control
	s := Status{Gate: c.conf.Name, SettingsVersion: c.settings.Current().Number, LogReachable: c.quorum.LogReachable()}
	for _, p := range c.quorum.Live(peerHeartbeatTimeout) {
		s.Gates = append(s.Gates, p.Name)
	}
	for i := range hvtask.Shards {
		s.Shards = append(s.Shards, c.shardStatus(i))
	}
	now := c.Clock.Now()
	for _, m := range c.Members.Alive() {
		s.Hosts = append(s.Hosts, HostStatus{
			Host: m.Host.Name, Zone: m.Host.Zone, Rack: m.Host.Rack, Service: m.Service,
			Running: m.Heartbeat.Running, Waiting: m.Heartbeat.Waiting, Tasks: len(m.Heartbeat.Attempts),
			Committed: m.Heartbeat.Committed, Capacity: m.Host.Capacity, SettingsVersion: m.Heartbeat.SettingsVersion,
			Leaving: !m.LeavingSince.IsZero(), Healthy: c.Health.Usable(now, m.Host.Name),
		})
	}
	return s, nil
}

func (c *Control) shardStatus(i int) ShardStatus {
	owner := c.shards[i].Owner()
	status := ShardStatus{Shard: i, Epoch: owner.Epoch, Queued: c.shards[i].QueueLength()}
	if !owner.Released {
		status.Owner = owner.Gate
	}
	if epoch, ok := c.owners[i].Owns(); ok {
		_, status.Confirmed = c.quorum.RenewUntil(c.shardStreams[i].name, epoch)
	}
	return status
}

// Explain implements hvhttp.Admin.
func (a *Admin) Explain(ctx context.Context, task string) (any, error) {
	text, err := a.control.explain(ctx, task)
	if err != nil {
		return nil, err
	}
	e, _ := a.control.shards[hvtask.ShardOf(task)].Lookup(task)
	owner := a.control.shards[hvtask.ShardOf(task)].Owner()
	return map[string]any{"task": task, "state": e.State, "shard": hvtask.ShardOf(task), "owner": owner.Gate, "explain": text}, nil
}

// Drain implements hvhttp.Admin. It asks the side of the host to accept no new
// work; the side reports this to every gate.
func (a *Admin) Drain(ctx context.Context, host string) error {
	side, alive := a.control.Members.Get(host)
	if !alive {
		return errorf("drain", hv.NotFound, "host %q is not alive", host)
	}
	var ack hvwire.Ack
	return side.Conn.Call(ctx, hvwire.MethodDrain, hvwire.Drain{Host: host}, &ack)
}
