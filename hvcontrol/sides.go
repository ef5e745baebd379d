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
	hvwire.Handle(c.Mux, hvwire.MethodFetch, c.serveFetch)
	hvwire.Handle(c.Mux, hvwire.MethodExplain, c.serveExplain)
}

func (c *Control) serveAnnounce(_ context.Context, conn *hvwire.Conn, a hvwire.Announce) (hvwire.AnnounceAck, error) {
	if err := c.Members.Announce(a, conn); err != nil {
		return hvwire.AnnounceAck{}, err
	}
	go func() {
		<-conn.Done()
		c.Members.Lost(a.Host.Name, conn)
	}()
	_ = c.Logger.Log("msg", "side announced itself", "host", a.Host.Name, "service", a.Service, "zone", a.Host.Zone)
	return hvwire.AnnounceAck{Gate: c.conf.Name, SettingsVersion: c.settings.Current().Number}, nil
}

func (c *Control) serveHeartbeat(_ context.Context, conn *hvwire.Conn, hb hvwire.Heartbeat) (hvwire.HeartbeatAck, error) {
	ack := hvwire.HeartbeatAck{SettingsVersion: c.settings.Current().Number}
	previous, _ := c.Members.Find(hb.Incarnation)
	hb, ok := hb.RestoreAttempts(previous.Beat.Attempts)
	if !ok {
		// Without the list nothing may be renewed, stopped or believed lost.
		// The side sends the list next.
		return ack, nil
	}
	if err := c.Members.Beat(hb, conn); err != nil {
		return hvwire.HeartbeatAck{}, err
	}
	ack.AttemptsStored = true
	side, ok := c.Members.Find(hb.Incarnation)
	if !ok || side.Beat.Sequence != hb.Sequence {
		// A late heartbeat says what the host held earlier.
		return ack, nil
	}
	held := map[int]bool{}
	for _, a := range hb.Attempts {
		held[a.Shard] = true
	}
	for i, o := range c.owners {
		// A host that holds no attempt of a shard has no lease to extend.
		if r := o.Heartbeat(side.Host, hb); r != nil && held[i] {
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
	if side, ok := c.Members.Find(l.Incarnation); ok {
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

// updatePlacer tells the placer what is free on a host.
func (c *Control) updatePlacer(side hvmember.Side) {
	if side.Host.Capacity == (hv.Resources{}) {
		// The side has not read its worker yet. A host without room would make
		// tasks look too large for the fleet.
		return
	}
	now := c.Clock.Now()
	view := hv.HostView{
		Host: side.Host, Committed: side.Beat.Committed, Programs: map[string]int{}, Groups: map[string]int{},
		Usable:  side.Left.IsZero() && !side.Beat.Leaving && c.Health.Usable(now, side.Host.Name),
		Suspect: c.Health.Suspect(side.Host.Name),
	}
	if side.Service != "" {
		view.Services = append(view.Services, side.Service)
	}
	listed := map[string]bool{}
	for _, a := range side.Beat.Attempts {
		listed[a.Attempt.Task] = true
	}
	for _, s := range c.shards {
		for _, e := range s.OnHost(side.Host.Name) {
			countTask(&view, e.Task)
			// The side commits for an attempt only when it has started it.
			if !listed[e.Task.ID] {
				view.Committed = view.Committed.Add(e.Task.Need)
			}
		}
	}
	c.mu.Lock()
	c.placerHosts[side.Host.Name] = true
	c.mu.Unlock()
	c.Placer.SetHost(view)
	if side.Service != "" && side.Beat.Slowdown > 0 {
		c.Placer.Observe(hv.InterferenceSample{Host: side.Host.Name, Service: side.Service, Slowdown: side.Beat.Slowdown, Time: now})
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

// removeLostHosts takes hosts out of the placer that are no longer alive. It goes
// by the hosts that the placer was told of, as a host can come and go between
// two looks at the members.
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
