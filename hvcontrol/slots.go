package hvcontrol

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// assignInterval is how often the assignment of key slots is looked at.
	assignInterval = 250 * time.Millisecond
	// keyLease is how long a side serves a key slot without confirmation. It
	// is shorter than the lease of tasks, because a side that stops serving a
	// slot loses nothing, while the slots of a lost side are not served until
	// it has passed. It covers the 3 s after which an outage of the log is
	// noticed, a majority round and a heartbeat.
	keyLease = 6 * time.Second
	// settleTime is how long the sides of a service must stay the same before
	// their slots are assigned. Sides that start together then share them.
	settleTime = 2 * time.Second
	// appendTimeout bounds the append of an assignment.
	appendTimeout = 10 * time.Second
)

// sideSet is the set of usable sides of a service since a time.
type sideSet struct {
	names string
	since time.Time
}

// Owner returns the host of the side that serves the key slot of a key.
func (c *Control) Owner(service, key string) (host string, ok bool) {
	owner := c.table.Slot(service, hvkey.SlotOf(key)).Owner
	if owner == "" {
		return "", false
	}
	side, ok := c.Members.FindIncarnation(owner)
	return side.Host.Name, ok
}

// grant confirms the key slots of a side, or returns nil while this gate's
// view of the table is not confirmed.
func (c *Control) grant(side hvmember.Side) *hvwire.KeyGrant {
	if side.Service == "" {
		return nil
	}
	next, ok := c.view.Epoch(hvquorum.KeysStream)
	if !ok {
		return nil
	}
	until, ok := c.view.RenewUntil(hvquorum.KeysStream, next)
	lease := until.Sub(c.Clock.Now()) - hv.LeaseDuration + keyLease
	if !ok || lease <= 0 {
		return nil
	}
	g := &hvwire.KeyGrant{Offset: hv.Offset(next), Lease: hv.Duration(lease)}
	for i, s := range c.table.Slots(side.Service) {
		if s.Owner == side.Incarnation {
			g.Slots = append(g.Slots, hvwire.SlotGrant{Slot: i, Since: s.Since, Wait: !c.settled(s), FirstOwner: s.FirstOwner})
		}
	}
	return g
}

// settled reports whether no earlier owner of a slot can serve it any more:
// it had stopped, or a majority of the gates has known the move for the
// lease of key slots and the clock margin.
func (c *Control) settled(s hvkey.SlotState) bool {
	if s.PreviousOwnerStopped {
		return true
	}
	since, ok := c.view.AcknowledgedSince(hvquorum.KeysStream, int64(s.Offset)+1)
	return ok && c.Clock.Now().Sub(since) >= keyLease+hv.ClockMargin
}

// assignSlots gives the slots of lost and leaving sides to the others. The
// first gate by name does it; two gates that both believe to be the first do
// no harm, because a move is valid only if it names the current owner.
func (c *Control) assignSlots(ctx context.Context) {
	hvtick.Every(ctx, assignInterval, func() {
		if !c.member() || !c.first() || !c.view.LogReachable() || !c.keys.follower.Status().Loaded {
			return
		}
		services := map[string]sides{}
		for _, s := range c.Members.Alive() {
			c.dropReleased(ctx, s)
			if s.Service == "" {
				continue
			}
			of := services[s.Service]
			if leaves(s) {
				of.leaving = append(of.leaving, s.Incarnation)
			} else {
				of.live = append(of.live, s.Incarnation)
			}
			services[s.Service] = of
		}
		for service, of := range services {
			c.assign(ctx, service, of)
		}
	})
}

// sides are the incarnations of the sides of a service.
type sides struct{ live, leaving []string }

func leaves(s hvmember.Side) bool { return !s.LeavingSince.IsZero() || s.Heartbeat.Leaving }

// assign moves the slots of one service. A move away from a side that is alive
// follows a handover of its memory, because the new owner answers unknown to
// every key that it cannot know about.
func (c *Control) assign(ctx context.Context, service string, of sides) {
	stable := c.stable(service, of.live)
	slots := c.table.Slots(service)
	body := hvkey.Moves{Service: service}
	handovers := map[[2]string][]int{}
	for _, m := range hvkey.Assign(slots, of.live, of.leaving) {
		from, alive := c.Members.FindIncarnation(m.From)
		switch {
		case m.From != "" && alive && (stable || leaves(from)):
			pair := [2]string{m.From, m.To}
			handovers[pair] = append(handovers[pair], m.Slot)
		// Slots that never had an owner wait until the sides that start
		// together are all there. Slots of a lost side and those that were
		// handed over do not wait.
		case !alive && (stable || m.From != "" || slots[m.Slot].Successor == m.To):
			body.Moves = append(body.Moves, m)
		}
	}
	if len(body.Moves) > 0 {
		c.appendKeys(ctx, service, hvkey.KindMove, body)
	}
	for pair, slots := range handovers {
		c.handOver(ctx, service, pair[0], pair[1], slots)
	}
}

// handOver carries the memory of key slots from their owner to an heir and
// records that the owner serves them no more.
func (c *Control) handOver(ctx context.Context, service, from, to string, slots []int) {
	owner, ok := c.Members.FindIncarnation(from)
	heir, alive := c.Members.FindIncarnation(to)
	if !ok || !alive {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for number, done := 0, false; !done; number++ {
		var part, imported hvwire.HandoverAck
		err := owner.Conn.Call(ctx, hvwire.MethodHandover, hvwire.Handover{Service: service, Successor: to, Slots: slots, PartNumber: number}, &part)
		if err == nil && part.Part != nil {
			err = heir.Conn.Call(ctx, hvwire.MethodHandover, hvwire.Handover{Service: service, Successor: to, Part: part.Part}, &imported)
		}
		if err != nil || part.Part == nil {
			_ = c.Logger.Log("msg", "key slots were not handed over", "service", service, "host", owner.Host.Name, "err", err)
			return
		}
		done = imported.Done || part.Part.Index+1 >= part.Part.Parts
	}
	c.appendKeys(ctx, service, hvkey.KindRelease, hvkey.Release{Service: service, From: from, Slots: slots, Successor: to})
}

// dropReleased frees slots whose handover did not reach the log. Their memory
// is lost to the next owner.
func (c *Control) dropReleased(ctx context.Context, s hvmember.Side) {
	if len(s.Heartbeat.Released) > 0 {
		c.appendKeys(ctx, s.Service, hvkey.KindRelease, hvkey.Release{Service: s.Service, From: s.Incarnation, Slots: s.Heartbeat.Released})
	}
}

func (c *Control) appendKeys(ctx context.Context, service, kind string, body any) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.keys.append(ctx, kind, body, true); err != nil {
		_ = c.Logger.Log("msg", "key slots were not changed", "service", service, "kind", kind, "err", err)
	}
}

// stable reports whether the sides of a service have been the same for the
// settle time.
func (c *Control) stable(service string, live []string) bool {
	names := ""
	for _, n := range live {
		names += n + " "
	}
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if set := c.changed[service]; set.names == names {
		return now.Sub(set.since) >= settleTime
	}
	c.changed[service] = sideSet{names: names, since: now}
	return false
}
