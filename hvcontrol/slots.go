package hvcontrol

import (
	"context"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// assignInterval is how often the assignment of key slots is checked.
	assignInterval = 250 * time.Millisecond
	// keyLeaseDuration is how long a side serves a key slot without renewal. It
	// is shorter than the lease of tasks, because a side that stops serving a
	// slot loses nothing, while the slots of a lost side are not served until
	// the lease has expired. It covers the 3 s after which an outage of the log
	// is detected, a majority round and a heartbeat.
	keyLeaseDuration = 6 * time.Second
	// sidesStableTime is how long the set of sides of a service must be
	// unchanged before its slots are assigned, so that sides that start together
	// each receive a share.
	sidesStableTime = 2 * time.Second
	// appendTimeout bounds a handover and the append of a change of key slots.
	appendTimeout = 10 * time.Second
)

// sideSet is the set of active sides of a service.
type sideSet struct {
	// key lists the incarnations of the sides.
	key string
	// since is when the set last changed.
	since time.Time
}

// Owner returns the host of the side that serves the key slot of a key.
func (c *Control) Owner(service, key string) (host string, ok bool) {
	owner := c.keyTable.Slot(service, hvkey.SlotOf(key)).Owner
	if owner == "" {
		return "", false
	}
	side, ok := c.Members.FindIncarnation(owner)
	return side.Host.Name, ok
}

// grant returns the key slots that a side may serve, or nil while this gate's
// known state of the key table is not confirmed.
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
			g.Slots = append(g.Slots, hvwire.SlotGrant{Slot: i, Since: s.Since, Wait: !c.previousOwnersExpired(s), FirstOwner: s.FirstOwner})
		}
	}
	return g
}

// previousOwnersExpired reports whether no previous owner of a slot can still
// serve it: the owner had stopped, or a majority of the gates has known the move
// for the duration of the key lease plus the clock margin.
func (c *Control) previousOwnersExpired(s hvkey.SlotState) bool {
	if s.PreviousOwnerStopped {
		return true
	}
	since, ok := c.quorum.AcknowledgedSince(hvquorum.KeysStream, int64(s.Offset)+1)
	return ok && c.Clock.Now().Sub(since) >= keyLeaseDuration+hv.ClockMargin
}

// assignSlots assigns the slots of lost and leaving sides to the active ones.
// Only the first live gate by name does this. If two gates both take themselves
// for the first, no harm is done: a move is valid only if it names the current
// owner.
func (c *Control) assignSlots(ctx context.Context) {
	hvtick.Every(ctx, assignInterval, func() {
		if !c.isMember() || !c.isFirstByName() || !c.quorum.LogReachable() || !c.keysStream.follower.Status().Loaded {
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

// serviceSides holds the incarnations of the sides of a service.
type serviceSides struct{ active, leaving []string }

func isLeaving(s hvmember.Side) bool { return !s.LeavingSince.IsZero() || s.Heartbeat.Leaving }

// assignService moves the slots of one service. A side that is alive hands over
// its stored keys before the move, because the new owner responds with an unknown
// outcome for every key that the previous owner may have seen.
func (c *Control) assignService(ctx context.Context, service string, group serviceSides) {
	stable := c.sidesStable(service, group.active)
	slots := c.keyTable.Slots(service)
	body := hvkey.Moves{Service: service}
	handovers := map[[2]string][]int{}
	// Sides that may be alive keep their slots and count for the balance.
	unconfirmed := c.unconfirmedLosses(ctx, silentOwners(slots, group))
	for _, m := range hvkey.Assign(slots, append(unconfirmed, group.active...), group.leaving) {
		from, alive := c.Members.FindIncarnation(m.From)
		switch {
		case slices.Contains(unconfirmed, m.From) || slices.Contains(unconfirmed, m.To):
		case m.From != "" && alive && (stable || isLeaving(from)):
			pair := [2]string{m.From, m.To}
			handovers[pair] = append(handovers[pair], m.Slot)
		// Slots that never had an owner are assigned only when the set of
		// sides is stable, so that sides that start together share them. Slots
		// of a lost side and slots that were handed over do not wait.
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

// handOver transfers the stored keys of slots from their owner to a successor
// and records that the owner no longer serves the slots.
func (c *Control) handOver(ctx context.Context, service, from, to string, slots []int) {
	owner, ok := c.Members.FindIncarnation(from)
	successor, alive := c.Members.FindIncarnation(to)
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
			_ = c.Logger.Log("msg", "handover of key slots failed", "service", service, "host", owner.Host.Name, "err", err)
			return
		}
		done = imported.Done || part.Part.Index+1 >= part.Part.Parts
	}
	c.appendKeys(ctx, service, hvkey.KindRelease, hvkey.Release{Service: service, From: from, Slots: slots, Successor: to})
}

// recordReleasedSlots releases slots that their owner has stopped serving but
// whose handover was not recorded in the log. The next owner does not receive
// their stored keys.
func (c *Control) recordReleasedSlots(ctx context.Context, side hvmember.Side) {
	if len(side.Heartbeat.Released) > 0 {
		c.appendKeys(ctx, side.Service, hvkey.KindRelease, hvkey.Release{Service: side.Service, From: side.Incarnation, Slots: side.Heartbeat.Released})
	}
}

func (c *Control) appendKeys(ctx context.Context, service, kind string, body any) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.keysStream.append(ctx, kind, body, true); err != nil {
		_ = c.Logger.Log("msg", "appending key slot changes failed", "service", service, "kind", kind, "err", err)
	}
}

// sidesStable reports whether the set of active sides of a service has been
// unchanged for sidesStableTime.
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
