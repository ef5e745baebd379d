package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// announce sends the announcement of the side to the gate. first marks the
// first one on the connection: the lease of a start that names no heartbeat
// begins when it was sent.
func (l *link) announce(ctx context.Context, c *hvwire.Conn, first bool) error {
	if first {
		l.mu.Lock()
		l.announcedAt = l.agent.clock.Now()
		l.mu.Unlock()
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := hvwire.Call[hvwire.AnnounceAck](call, c, hvwire.MethodAnnounce, l.agent.announcement())
	if err != nil {
		return err
	}
	logInfo(l.logger, "msg", "side announced to gate", "name", ack.Gate, "version", ack.SettingsVersion)
	// A gate that requested the announcement may no longer have the lists.
	l.lists = hvwire.ListCache{}
	l.agent.fetch(ctx, c, ack.SettingsVersion)
	return nil
}

func (a *Agent) announcement() hvwire.Announce {
	c := a.config()
	m := hvwire.Announce{Host: c.Host, Incarnation: a.incarnation, Leaving: a.draining.Load()}
	if a.service != nil {
		limits := a.limits()
		m.Service, m.Slots, m.Connections = c.Service, limits.Slots, limits.Connections
	}
	if a.tasks != nil {
		m.Host.Capacity, m.Running = a.tasks.announcement()
	}
	return m
}

// sendHeartbeat sends one heartbeat and applies the response.
func (l *link) sendHeartbeat(ctx context.Context, c *hvwire.Conn) error {
	m := l.agent.heartbeat()
	m = l.lists.OmitAttempts(m)
	sent := l.agent.clock.Now()
	l.recordSent(m.Sequence, sent)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := hvwire.Call[hvwire.HeartbeatAck](call, c, hvwire.MethodHeartbeat, m)
	if err != nil {
		return err
	}
	l.agent.applyAck(l.lists.RestoreSlots(m, ack), sent)
	l.agent.fetch(ctx, c, ack.SettingsVersion)
	return nil
}

func (a *Agent) heartbeat() hvwire.Heartbeat {
	m := hvwire.Heartbeat{
		Incarnation: a.incarnation, Sequence: a.sequence.Add(1),
		SettingsVersion: a.settings.Current().Number, Leaving: a.draining.Load(),
	}
	if s := a.service; s != nil {
		m.Running, m.Waiting = s.slots.Load()
		m.Slowdown = a.slowdown()
		m.Released = s.keys.failedHandovers()
	}
	if a.tasks != nil {
		a.tasks.addToHeartbeat(&m)
	}
	return m
}

// slowdown returns the tail latency of the upstream divided by its target.
func (a *Agent) slowdown() float64 {
	if a.service == nil {
		return 0
	}
	s, ok := a.settings.Current().Settings.Services[a.service.name]
	if !ok {
		return 0
	}
	return a.service.latency.Slowdown(s.LatencyTarget.Std())
}

func (a *Agent) applyAck(ack hvwire.HeartbeatAck, sent time.Time) {
	if a.tasks != nil {
		a.tasks.applyRenewals(ack.Renewals, sent)
	}
	if a.service != nil && ack.Grant != nil {
		a.service.keys.grant(*ack.Grant, sent)
	}
}

func smallerCapacity(local, worker hv.Resources) hv.Resources {
	if local == (hv.Resources{}) {
		return worker
	}
	return hv.Resources{
		Processors:   min(local.Processors, worker.Processors),
		Memory:       min(local.Memory, worker.Memory),
		Accelerators: min(local.Accelerators, worker.Accelerators),
	}
}
