package hvcontrol

import (
	"context"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

func (c *Control) registerHandlers() {
	hvwire.Handle(c.Mux, hvwire.MethodAnnounce, c.serveAnnounce)
	hvwire.Handle(c.Mux, hvwire.MethodHeartbeat, c.serveHeartbeat)
	hvwire.Handle(c.Mux, hvwire.MethodLeave, c.serveLeave)
	hvwire.Handle(c.Mux, hvwire.MethodReport, c.serveReport)
	hvwire.Handle(c.Mux, hvwire.MethodPeerHeartbeat, c.servePeerHeartbeat)
	hvwire.Handle(c.Mux, hvwire.MethodConfirm, c.serveConfirm)
	hvwire.Handle(c.Mux, hvwire.MethodHeard, c.serveHeard)
	hvwire.Handle(c.Mux, hvwire.MethodFetch, c.serveFetch)
	hvwire.Handle(c.Mux, hvwire.MethodExplain, c.serveExplain)
}

func (c *Control) serveAnnounce(_ context.Context, conn *hvwire.Conn, a hvwire.Announce) (hvwire.AnnounceAck, error) {
	if err := c.Members.Announce(a, conn); err != nil {
		return hvwire.AnnounceAck{}, err
	}
	go func() {
		<-conn.Done()
		c.Members.ConnectionLost(a.Host.Name, conn)
	}()
	_ = c.Logger.Log("msg", "side announced itself", "host", a.Host.Name, "service", a.Service, "zone", a.Host.Zone)
	return hvwire.AnnounceAck{Gate: c.conf.Name, SettingsVersion: c.settings.Current().Number}, nil
}

func (c *Control) serveHeartbeat(_ context.Context, conn *hvwire.Conn, hb hvwire.Heartbeat) (hvwire.HeartbeatAck, error) {
	ack := hvwire.HeartbeatAck{SettingsVersion: c.settings.Current().Number}
	previous, _ := c.Members.FindIncarnation(hb.Incarnation)
	hb, ok := hb.RestoreAttempts(previous.Heartbeat.Attempts)
	if !ok {
		// The heartbeat omits the list of attempts and this gate has not
		// stored it. Without the list no lease may be renewed and no attempt stopped
		// or considered lost. The side sends the list with its next heartbeat.
		return ack, nil
	}
	if err := c.Members.Heartbeat(hb, conn); err != nil {
		return hvwire.HeartbeatAck{}, err
	}
	ack.AttemptsStored = true
	side, ok := c.Members.FindIncarnation(hb.Incarnation)
	if !ok || side.Heartbeat.Sequence != hb.Sequence {
		// A newer heartbeat has been stored; this one has an outdated list of
		// attempts.
		return ack, nil
	}
	shardsHeld := map[int]bool{}
	for _, a := range hb.Attempts {
		shardsHeld[a.Shard] = true
	}
	for i, o := range c.owners {
		// A host without attempts of a shard has no lease to renew.
		if r := o.Heartbeat(side.Host, hb); r != nil && shardsHeld[i] {
			ack.Renewals = append(ack.Renewals, *r)
		}
	}
	if ack.Grant = c.grant(side); ack.Grant != nil {
		ack.Grant.OmitSlots(hb)
	}
	c.updatePlacer(side)
	return ack, nil
}

func (c *Control) serveLeave(_ context.Context, _ *hvwire.Conn, l hvwire.Leave) (hvwire.Ack, error) {
	c.Members.Leave(l)
	if side, ok := c.Members.FindIncarnation(l.Incarnation); ok {
		c.updatePlacer(side)
	}
	return hvwire.Ack{OK: true}, nil
}

func (c *Control) serveReport(_ context.Context, _ *hvwire.Conn, r hvwire.Report) (hvwire.Ack, error) {
	if r.Shard < 0 || r.Shard >= hvtask.Shards {
		return hvwire.Ack{}, errorf("report", hv.Invalid, "shard: %d is not between 0 and %d", r.Shard, hvtask.Shards-1)
	}
	return c.owners[r.Shard].Report(r), nil
}

// updatePlacer passes the capacity and the committed resources of a host to the
// placer.
func (c *Control) updatePlacer(side hvmember.Side) {
	if side.Host.Capacity == (hv.Resources{}) {
		// The side has not queried its worker yet. With a host of zero capacity
		// in the placer, tasks would be reported as too large for every host.
		return
	}
	now := c.Clock.Now()
	view := hv.HostView{
		Host: side.Host, Committed: side.Heartbeat.Committed, Programs: map[string]int{}, Groups: map[string]int{},
		Usable:  side.LeavingSince.IsZero() && !side.Heartbeat.Leaving && c.Health.Usable(now, side.Host.Name),
		Suspect: c.Health.Suspect(side.Host.Name),
	}
	if side.Service != "" {
		view.Services = append(view.Services, side.Service)
	}
	listedTasks := map[string]bool{}
	for _, a := range side.Heartbeat.Attempts {
		listedTasks[a.Attempt.Task] = true
	}
	for _, s := range c.shards {
		for _, e := range s.OnHost(side.Host.Name) {
			countTask(&view, e.Task)
			// The side counts an attempt as committed only once it has
			// started it.
			if !listedTasks[e.Task.ID] {
				view.Committed = view.Committed.Add(e.Task.Need)
			}
		}
	}
	c.mu.Lock()
	c.placerHosts[side.Host.Name] = true
	c.mu.Unlock()
	c.Placer.SetHost(view)
	if side.Service != "" && side.Heartbeat.Slowdown > 0 {
		c.Placer.Observe(hv.InterferenceSample{Host: side.Host.Name, Service: side.Service, Slowdown: side.Heartbeat.Slowdown, Time: now})
	}
}

func countTask(v *hv.HostView, t hv.Task) {
	if t.Kind == hv.Service {
		v.Services = append(v.Services, t.Program)
		return
	}
	v.Programs[t.Program]++
	if group := t.Labels[hv.GroupLabel]; group != "" {
		v.Groups[group]++
	}
}

// removeLostHosts removes hosts that are no longer alive from the placer. It
// compares with the hosts that were passed to the placer, because a host can
// join and leave between two checks of the members.
func (c *Control) removeLostHosts(ctx context.Context) {
	hvtick.Every(ctx, refreshInterval, func() {
		alive := map[string]bool{}
		for _, s := range c.Members.Alive() {
			alive[s.Host.Name] = true
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for name := range c.placerHosts {
			if !alive[name] {
				c.Placer.RemoveHost(name)
				delete(c.placerHosts, name)
			}
		}
	})
}
