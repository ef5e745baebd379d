package hvmember

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Announce records a side and its connection. It returns an error of kind Conflict
// for an incarnation that is not the newest of its host.
func (t *Table) Announce(a hvwire.Announce, c Conn) error {
	if a.Host.Name == "" || a.Incarnation == "" {
		return errorf("announce", hv.Invalid, "host.name and incarnation must not be empty")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.sides[a.Host.Name]
	if e == nil {
		t.removeExpired(now)
		if len(t.sides) >= maxSides {
			return errorf("announce", hv.Full, "the table is full with %d sides", len(t.sides))
		}
		e = &entry{}
		t.sides[a.Host.Name] = e
	} else if err := e.checkNewer(a.Incarnation, now); err != nil {
		return err
	}
	t.update(e, a, c, now)
	t.notify()
	return nil
}

// checkNewer returns an error for an incarnation that the current one has
// replaced.
func (e *entry) checkNewer(incarnation string, now time.Time) error {
	switch {
	case incarnation == e.Incarnation:
		return nil
	case slices.Contains(e.replaced, incarnation):
		return errorf("announce", hv.Conflict, "incarnation %s of host %s was replaced by a newer one", incarnation, e.Host.Name)
	case older(incarnation, e.Incarnation) && e.alive(now):
		// The clock of a host may go back, so an older creation time is
		// refused only while the current process is alive.
		return errorf("announce", hv.Conflict, "incarnation %s of host %s is older than the current one", incarnation, e.Host.Name)
	}
	return nil
}

func (t *Table) update(e *entry, a hvwire.Announce, c Conn, now time.Time) {
	leavingSince := e.LeavingSince
	if e.Incarnation != a.Incarnation {
		if e.Incarnation != "" {
			e.replaced = append(e.replaced, e.Incarnation)
			e.replaced = e.replaced[max(0, len(e.replaced)-maxReplaced):]
			delete(t.hostByIncarnation, e.Incarnation)
		}
		e.Heartbeat, leavingSince = hvwire.Heartbeat{}, time.Time{}
	}
	t.hostByIncarnation[a.Incarnation] = a.Host.Name
	t.index.remove(e)
	e.Announce, e.Conn, e.LastSeen, e.LeavingSince, e.connectionLost, e.failedCalls, e.cached = a, c, now, leavingSince, false, 0, nil
	t.index.add(e)
	if a.Leaving {
		e.markLeaving(now)
	}
}

// markLeaving marks the side as leaving. A later message of the same incarnation
// cannot undo it.
func (e *entry) markLeaving(now time.Time) {
	if e.LeavingSince.IsZero() {
		e.LeavingSince, e.cached = now, nil
	}
}

// Heartbeat records a heartbeat. An error of kind NotFound tells the side to
// announce itself again. A heartbeat that arrives out of order is ignored.
func (t *Table) Heartbeat(hb hvwire.Heartbeat, c Conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[t.hostByIncarnation[hb.Incarnation]]
	if e == nil || e.Conn != c {
		return errorf("beat", hv.NotFound, "incarnation %s is not announced on this connection", hb.Incarnation)
	}
	if hb.Sequence <= e.Heartbeat.Sequence {
		return nil
	}
	now := t.clock.Now()
	e.Heartbeat, e.LastSeen, e.failedCalls, e.cached = hb, now, 0, nil
	if hb.Leaving && e.LeavingSince.IsZero() {
		e.markLeaving(now)
		t.notify()
	}
	return nil
}

// Leave records that a side is draining. It gets no new work from then on.
func (t *Table) Leave(l hvwire.Leave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.sides[t.hostByIncarnation[l.Incarnation]]; e != nil {
		e.markLeaving(t.clock.Now())
		t.notify()
	}
}

// ConnectionLost records the end of a connection. It has no effect if a newer
// connection to the side exists.
func (t *Table) ConnectionLost(host string, c Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.sides[host]; e != nil && e.Conn == c {
		e.connectionLost = true
		t.notify()
	}
}

// CallFailed records that a call to a side got no response.
func (t *Table) CallFailed(host, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[host]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	if e.failedCalls++; e.failedCalls == maxFailedCalls {
		t.notify()
	}
}

// removeExpired removes sides that were last seen longer ago than removeAfter.
func (t *Table) removeExpired(now time.Time) {
	for host, e := range t.sides {
		if now.Sub(e.LastSeen) > removeAfter {
			delete(t.sides, host)
			delete(t.hostByIncarnation, e.Incarnation)
			t.index.remove(e)
		}
	}
}
