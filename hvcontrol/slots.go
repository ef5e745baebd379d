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
	// keyLeaseDuration is how long a side serves a key slot without confirmation. It
	// is shorter than the lease of tasks, because a side that stops serving a
	// slot loses nothing, while the slots of a lost side are not served until
	// it has passed. It covers the 3 s after which an outage of the log is
	// noticed, a majority round and a heartbeat.
	keyLeaseDuration = 6 * time.Second
	// sidesStableTime is how long the sides of a service must stay the same before
	// their slots are assigned. Sides that start together then share them.
	sidesStableTime = 2 * time.Second
	// appendTimeout bounds the append of an assignment.
	appendTimeout = 10 * time.Second
)

// sideSet is the set of usable sides of a service since a time.
type sideSet struct {
	key   string
	since time.Time
}

// Owner returns the host of the side that serves the key slot of a key.
func (c *Control) Owner(service, key string) (host string, ok bool) {
	owner := c.keyTable.Slot(service, hvkey.SlotOf(key)).Owner
	if owner == "" {
		return "", false
	}
	side, ok := c.Members.Find(owner)
	return side.Host.Name, ok
}

// grant confirms the key slots of a side, or returns nil while this gate's
// view of the table is not confirmed.
func (c *Control) grant(side hvmember.Side) *hvwire.KeyGrant {
	if side.Service == "" {
		return nil
	}
	next, ok := c.quorum.Epoch(hvquorum.KeysStream)
	if !ok {
		return nil
	}
	until, ok := c.quorum.RenewUntil(hvquorum.KeysStream, next)
	lease := until.Sub(c.Clock.Now()) - hv.LeaseDuration + keyLeaseDuration
	if !ok || lease <= 0 {
		return nil
	}
	g := &hvwire.KeyGrant{Offset: hv.Offset(next), Lease: hv.Duration(lease)}
	for i, s := range c.keyTable.Slots(side.Service) {
		if s.Owner == side.Incarnation {
			g.Slots = append(g.Slots, hvwire.SlotGrant{Slot: i, Since: s.Since, Wait: !c.previousOwnersExpired(s), FirstOwner: s.First})
		}
	}
	return g
}

// previousOwnersExpired reports whether no earlier owner of a slot can serve it any more:
// it had stopped, or a majority of the gates has known the move for the
// lease of key slots and the clock margin.
func (c *Control) previousOwnersExpired(s hvkey.SlotState) bool {
	if s.Clean {
		return true
	}
	since, ok := c.quorum.Acknowledged(hvquorum.KeysStream, int64(s.Offset)+1)
	return ok && c.Clock.Now().Sub(since) >= keyLeaseDuration+hv.ClockMargin
}

// assignSlots gives the slots of lost and leaving sides to the others. The
// first gate by name does it; two gates that both believe to be the first do
// no harm, because a move is valid only if it names the current owner.
func (c *Control) assignSlots(ctx context.Context) {
	hvtick.Every(ctx, assignInterval, func() {
		if !c.isMember() || !c.isFirstByName() || !c.quorum.Reachable() || !c.keysStream.follower.Status().Loaded {
			return
		}
		services := map[string]serviceSides{}
		for _, s := range c.Members.Alive() {
			c.recordReleasedSlots(ctx, s)
			if s.Service == "" {
				continue
			}
			group := services[s.Service]
			if isLeaving(s) {
				group.leaving = append(group.leaving, s.Incarnation)
			} else {
				group.active = append(group.active, s.Incarnation)
			}
			services[s.Service] = group
		}
		for service, group := range services {
			c.assignService(ctx, service, group)
		}
	})
}

// serviceSides are the incarnations of the sides of a service.
type serviceSides struct{ active, leaving []string }

func isLeaving(s hvmember.Side) bool { return !s.Left.IsZero() || s.Beat.Leaving }

// assignService moves the slots of one service. A move away from a side that is alive
// follows a handover of its memory, because the new owner answers unknown to
// every key that it cannot know about.
func (c *Control) assignService(ctx context.Context, service string, group serviceSides) {
	stable := c.sidesStable(service, group.active)
	slots := c.keyTable.Slots(service)
	body := hvkey.Moves{Service: service}
	handovers := map[[2]string][]int{}
	for _, m := range hvkey.Assign(slots, group.active, group.leaving) {
		from, alive := c.Members.Find(m.From)
		switch {
		case m.From != "" && alive && (stable || isLeaving(from)):
			pair := [2]string{m.From, m.To}
			handovers[pair] = append(handovers[pair], m.Slot)
		// Slots that never had an owner wait until the sides that start
		// together are all there. Slots of a lost side and those that were
		// handed over do not wait.
		case !alive && (stable || m.From != "" || slots[m.Slot].Heir == m.To):
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
	owner, ok := c.Members.Find(from)
	successor, alive := c.Members.Find(to)
	if !ok || !alive {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for number, done := 0, false; !done; number++ {
		var part, imported hvwire.HandoverAck
		err := owner.Conn.Call(ctx, hvwire.MethodHandover, hvwire.Handover{Service: service, Successor: to, Slots: slots, PartNumber: number}, &part)
		if err == nil && part.Part != nil {
			err = successor.Conn.Call(ctx, hvwire.MethodHandover, hvwire.Handover{Service: service, Successor: to, Part: part.Part}, &imported)
		}
		if err != nil || part.Part == nil {
			_ = c.Logger.Log("msg", "key slots were not handed over", "service", service, "host", owner.Host.Name, "err", err)
			return
		}
		done = imported.Done || part.Part.Part+1 >= part.Part.Parts
	}
	c.appendKeys(ctx, service, hvkey.KindRelease, hvkey.Release{Service: service, From: from, Slots: slots, Heir: to})
}

// recordReleasedSlots frees slots whose handover did not reach the log. Their memory
// is lost to the next owner.
func (c *Control) recordReleasedSlots(ctx context.Context, side hvmember.Side) {
	if len(side.Beat.Released) > 0 {
		c.appendKeys(ctx, side.Service, hvkey.KindRelease, hvkey.Release{Service: side.Service, From: side.Incarnation, Slots: side.Beat.Released})
	}
}

func (c *Control) appendKeys(ctx context.Context, service, kind string, body any) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.keysStream.append(ctx, kind, body, true); err != nil {
		_ = c.Logger.Log("msg", "key slots were not changed", "service", service, "kind", kind, "err", err)
	}
}

// sidesStable reports whether the sides of a service have been the same for the
// settle time.
func (c *Control) sidesStable(service string, active []string) bool {
	key := ""
	for _, n := range active {
		key += n + " "
	}
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if set := c.sideSets[service]; set.key == key {
		return now.Sub(set.since) >= sidesStableTime
	}
	c.sideSets[service] = sideSet{key: key, since: now}
	return false
}
