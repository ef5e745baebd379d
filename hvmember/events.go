package hvmember

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Announce records a side and its connection. An error of kind Conflict
// refuses an incarnation that is not the newest of its host.
func (t *Table) Announce(a hvwire.Announce, c Conn) error {
	if a.Host.Name == "" || a.Incarnation == "" {
		return errorf("announce", hv.Invalid, "host.name and incarnation must not be empty")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.sides[a.Host.Name]
	if e == nil {
		t.sweep(now)
		if len(t.sides) >= maxSides {
			return errorf("announce", hv.Full, "the table holds %d sides", len(t.sides))
		}
		e = &entry{}
		t.sides[a.Host.Name] = e
	} else if err := e.outranks(a.Incarnation, now); err != nil {
		return err
	}
	t.replace(e, a, c, now)
	t.notify()
	return nil
}

// outranks refuses an incarnation that the current one has replaced.
func (e *entry) outranks(incarnation string, now time.Time) error {
	switch {
	case incarnation == e.Incarnation:
		return nil
	case slices.Contains(e.retired, incarnation):
		return errorf("announce", hv.Conflict, "incarnation %s of %s was replaced", incarnation, e.Host.Name)
	case older(incarnation, e.Incarnation) && e.alive(now):
		// The clock of a host may go back, so an older time loses only
		// against a process that is alive.
		return errorf("announce", hv.Conflict, "incarnation %s of %s is older than the current one", incarnation, e.Host.Name)
	}
	return nil
}

func (t *Table) replace(e *entry, a hvwire.Announce, c Conn, now time.Time) {
	left := e.LeavingSince
	if e.Incarnation != a.Incarnation {
		if e.Incarnation != "" {
			e.retired = append(e.retired, e.Incarnation)
			e.retired = e.retired[max(0, len(e.retired)-maxRetired):]
			delete(t.hosts, e.Incarnation)
		}
		e.Heartbeat, left = hvwire.Heartbeat{}, time.Time{}
	}
	t.hosts[a.Incarnation] = a.Host.Name
	t.index.remove(e)
	e.Announce, e.Conn, e.LastSeen, e.LeavingSince, e.lost, e.failed, e.view = a, c, now, left, false, 0, nil
	t.index.add(e)
	if a.Leaving {
		e.leave(now)
	}
}

// leave is final for an incarnation, so a late message can't undo it.
func (e *entry) leave(now time.Time) {
	if e.LeavingSince.IsZero() {
		e.LeavingSince, e.view = now, nil
	}
}

// Heartbeat records a heartbeat. An error of kind NotFound asks the side to
// announce itself again; a late heartbeat is ignored.
func (t *Table) Heartbeat(b hvwire.Heartbeat, c Conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[t.hosts[b.Incarnation]]
	if e == nil || e.Conn != c {
		return errorf("beat", hv.NotFound, "incarnation %s has not announced itself on this connection", b.Incarnation)
	}
	if b.Sequence <= e.Heartbeat.Sequence {
		return nil
	}
	now := t.clock.Now()
	e.Heartbeat, e.LastSeen, e.failed, e.view = b, now, 0, nil
	if b.Leaving && e.LeavingSince.IsZero() {
		e.leave(now)
		t.notify()
	}
	return nil
}

// Leave records that a side drains; it gets no new work from now on.
func (t *Table) Leave(l hvwire.Leave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.sides[t.hosts[l.Incarnation]]; e != nil {
		e.leave(t.clock.Now())
		t.notify()
	}
}

// ConnectionLost records the end of a connection. The end of a connection that has been
// replaced changes nothing.
func (t *Table) ConnectionLost(host string, c Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.sides[host]; e != nil && e.Conn == c {
		e.lost = true
		t.notify()
	}
}

// CallFailed records a call to a side that was not answered.
func (t *Table) CallFailed(host, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[host]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	if e.failed++; e.failed == maxFailed {
		t.notify()
	}
}

// sweep drops sides that have been out for long.
func (t *Table) sweep(now time.Time) {
	for host, e := range t.sides {
		if now.Sub(e.LastSeen) > forget {
			delete(t.sides, host)
			delete(t.hosts, e.Incarnation)
			t.index.remove(e)
		}
	}
}
