package hvcontrol

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// assignInterval is how often the assignment of key slots is looked at.
	assignInterval = time.Second
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
	side, ok := c.Members.Find(owner)
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
	if !ok {
		return nil
	}
	g := &hvwire.KeyGrant{Offset: hv.Offset(next), Lease: hv.Duration(until.Sub(c.Clock.Now()))}
	for i, s := range c.table.Slots(side.Service) {
		if s.Owner == side.Incarnation {
			g.Slots = append(g.Slots, hvwire.SlotGrant{Slot: i, Since: s.Since, Wait: !c.settled(s)})
		}
	}
	return g
}

// settled reports whether no earlier owner of a slot can serve it any more:
// it had stopped, or a majority of the gates has known the move for the
// lease duration and the clock margin.
func (c *Control) settled(s hvkey.SlotState) bool {
	if s.Clean {
		return true
	}
	since, ok := c.view.Acknowledged(hvquorum.KeysStream, int64(s.Offset)+1)
	limits := hvconf.Default().Limits
	return ok && c.Clock.Now().Sub(since) >= limits.Lease.Std()+limits.Margin.Std()
}

// assignSlots moves the slots of lost sides to the others.
func (c *Control) assignSlots(ctx context.Context) {
	every(ctx, assignInterval, func() {
		if !c.member() || !c.first() || !c.view.Reachable() || !c.keys.follower.Status().Live {
			return
		}
		services := map[string][]string{}
		for _, s := range c.Members.Alive() {
			if s.Service != "" && s.Left.IsZero() && !s.Beat.Leaving {
				services[s.Service] = append(services[s.Service], s.Incarnation)
			}
		}
		for service, live := range services {
			c.assign(ctx, service, live)
		}
	})
}

func (c *Control) assign(ctx context.Context, service string, live []string) {
	if !c.stable(service, live) {
		return
	}
	body := hvkey.Moves{Service: service}
	for _, m := range hvkey.Assign(c.table.Slots(service), live) {
		// A move away from a live side waits until that side has released the
		// slot, because a new owner does not know the keys that ran before.
		if _, ok := c.Members.Find(m.From); m.From != "" && ok {
			continue
		}
		body.Moves = append(body.Moves, m)
	}
	if len(body.Moves) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.keys.append(ctx, hvkey.KindMove, body, true); err != nil {
		_ = c.Logger.Log("msg", "key slots were not assigned", "service", service, "err", err)
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
