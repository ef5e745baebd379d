package hvcell

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvbackfill"
)

const (
	// maxReservations bounds the steps with a reservation, and so the time that a plan
	// takes. There is one for each hostsPerReservation hosts at most, but always one: more
	// of them serve work in the order in which it began to wait, which under overload
	// makes more jobs late than the scheduling order.
	maxReservations     = 8
	hostsPerReservation = 8
	// maxLate bounds the reservations of steps that could no longer be in time when they
	// got one: under overload they keep capacity from those that can be in time.
	maxLate = 1
	// reservationSearchInterval is the least time between two searches of hosts for one step. In
	// between only the times of its reservation are revised.
	reservationSearchInterval = 100 * time.Millisecond
	// maxSearches bounds the searches for steps without a reservation in one plan, and
	// failedSearchDelay is the delay before one that found no host is repeated: many steps
	// wait because all hosts disturb, and each search looks at all hosts.
	maxSearches       = 4
	failedSearchDelay = 500 * time.Millisecond
	// moveGain is by how much earlier a step must be able to start elsewhere, even if the
	// runs there end late, for its reservation to move: what was kept free so far is lost.
	moveGain = 100 * time.Millisecond
	// delayTolerance is the delay of a reservation from which it counts as delayed.
	delayTolerance = 50 * time.Millisecond
	// reportInterval is the least time between two log lines of one kind for a step, and
	// between two delays that are counted: a step with many tasks gets many reservations.
	reportInterval = time.Second
	// readyTimeout is how long a reservation is kept once its capacity is free. Something
	// other than capacity keeps the step from starting then, such as a missing ticket.
	readyTimeout = time.Second
	// retryReservationDelay is the time from then to the next reservation of the step.
	retryReservationDelay = 2 * time.Second
)

// backfill holds the reservations of a cell.
type backfill struct {
	// plan numbers the plans with reservations; plannedAt is the time of the last one.
	plan      int64
	plannedAt time.Time
	// steps holds the steps with a reservation in the order in which they got it, and
	// hosts those with promises.
	steps []*step
	hosts []*host
	// late counts the reservations of steps that are late.
	late int
	// largest holds the most of each resource that was free on any host when the plan
	// largestIn began. In a plan with nothing that waits it is not computed.
	largest   hvbackfill.Amount
	largestIn int64
	// slots and lateLine are reused by each search.
	slots    []hvbackfill.Slot
	lateLine hvbackfill.Host
}

// stepReservation is the reservation of a step that waits for capacity.
type stepReservation struct {
	// blocked is true if the last plan found no host for a task of the step.
	blocked bool
	// wantedIn is the last plan in which the step was to have a reservation.
	wantedIn int64
	// late is true if the step could no longer be in time, or was deferred, in that plan.
	late bool
	// hosts holds a host for each task that is to start, ordered by name; it is empty if
	// the step has no reservation. The tasks are expected to start at the time at.
	hosts []*host
	at    time.Time
	// reportedAt is the time of the start that was last reported as reserved or delayed.
	// loggedAt and delayLogged are when a reservation and a delay were last logged.
	reportedAt, loggedAt, delayLogged time.Time
	// used is true once a task has started on a reserved host.
	used       bool
	searchedAt time.Time
	// readySince is when the capacity became free, or zero.
	readySince time.Time
	// notBefore is the earliest time of the next reservation.
	notBefore time.Time
	// impactLimit is the greatest impact that a best-effort task may have on a reserved
	// host.
	impactLimit float64
}

// prepareReservations reserves capacity for the first steps that wait for it. Earlier
// reservations come first: otherwise each small task that arrives with an earlier goal
// would take what was kept for a large one.
func (c *Cell) prepareReservations(now time.Time, list []candidate, hosts []*host) {
	b := &c.backfill
	for _, h := range b.hosts {
		h.backfill.promises, h.backfill.steps = h.backfill.promises[:0], h.backfill.steps[:0]
	}
	b.hosts = b.hosts[:0]
	if !c.options.Policy.Backfill {
		return
	}
	b.plan++
	b.plannedAt = now
	if !c.markWanted(now, list) && len(b.steps) == 0 {
		return
	}
	b.largest, b.largestIn = hvbackfill.Amount{}, b.plan
	for i, h := range hosts {
		h.backfill.index, h.backfill.usableIn = i, b.plan
		b.largest = b.largest.Max(h.freeAmount())
	}
	c.keepReservations(now, hosts)
	c.addReservations(now, list, hosts)
	c.counts.Reservations = int64(len(b.steps))
}

// markWanted marks the steps that wait for capacity and may have a reservation, and
// reports whether there are any.
func (c *Cell) markWanted(now time.Time, list []candidate) bool {
	wanted := false
	for i := range list {
		s := list[i].step
		if s.reservation.blocked && !list[i].longRunning && !now.Before(s.reservation.notBefore) && c.suspectJobs[s.round.job.ID] == nil {
			s.reservation.wantedIn, s.reservation.late, wanted = c.backfill.plan, list[i].usefulness != usefulInTime, true
		}
	}
	return wanted
}

// addReservations makes reservations for the first steps that wait without one. Once all
// are taken, a step of a more urgent queue replaces the last one of a less urgent queue.
func (c *Cell) addReservations(now time.Time, list []candidate, hosts []*host) {
	b := &c.backfill
	limit := min(max(len(hosts)/hostsPerReservation, 1), maxReservations)
	searches := 0
	for i := range list {
		s := list[i].step
		if s.reservation.wantedIn != b.plan || len(s.reservation.hosts) > 0 || searches == maxSearches || s.reservation.late && b.late >= maxLate {
			continue
		}
		replaced := -1
		if len(b.steps) >= limit {
			replaced = b.lastLessUrgent(s)
			if replaced < 0 {
				continue
			}
		}
		searches++
		if !c.reserve(now, s, hosts) {
			s.reservation.notBefore = now.Add(failedSearchDelay)
			continue
		}
		if replaced >= 0 {
			c.withdrawPromises(b.steps[replaced])
			b.steps = slices.Delete(b.steps, replaced, replaced+1)
		}
		b.steps = append(b.steps, s)
		b.countLate(s)
	}
}

// countLate counts the reservation of a step if it is late.
func (b *backfill) countLate(s *step) {
	if s.reservation.late {
		b.late++
	}
}

// lastLessUrgent returns the index of the last reservation of a less urgent queue than that
// of a step, or -1.
func (b *backfill) lastLessUrgent(s *step) int {
	for i, holder := range slices.Backward(b.steps) {
		if holder.round.job.queue.Priority > s.round.job.queue.Priority {
			return i
		}
	}
	return -1
}

// withdrawPromises removes the reservation of a step and the promises to it.
func (c *Cell) withdrawPromises(s *step) {
	for _, h := range s.reservation.hosts {
		if i := slices.Index(h.backfill.steps, s); i >= 0 {
			h.backfill.promises = slices.Delete(h.backfill.promises, i, i+1)
			h.backfill.steps = slices.Delete(h.backfill.steps, i, i+1)
		}
	}
	s.reservation.reset()
}

// reset removes the reservation and keeps what decides about the next one.
func (v *stepReservation) reset() {
	*v = stepReservation{blocked: v.blocked, wantedIn: v.wantedIn, notBefore: v.notBefore, late: v.late, loggedAt: v.loggedAt, delayLogged: v.delayLogged}
}

// keepReservations revises the reservations of the last plan and drops those that are no
// longer needed or possible.
func (c *Cell) keepReservations(now time.Time, hosts []*host) {
	c.backfill.late = 0
	kept := c.backfill.steps[:0]
	for _, s := range c.backfill.steps {
		v := &s.reservation
		switch {
		case v.wantedIn != c.backfill.plan || v.used:
		case !v.readySince.IsZero() && now.Sub(v.readySince) > readyTimeout:
			v.notBefore, v.wantedIn = now.Add(retryReservationDelay), 0
			_ = level.Info(c.options.Logger).Log("msg", "reservation is dropped because its step does not start", "job", s.round.job.ID, "step", s.index, "host", v.hosts[0].name)
		case c.reserve(now, s, hosts):
			kept = append(kept, s)
			c.backfill.countLate(s)
			continue
		}
		v.reset()
	}
	clear(c.backfill.steps[len(kept):])
	c.backfill.steps = kept
}

// reserve revises the reservation of a step, or makes one, and reports whether the step has
// one.
func (c *Cell) reserve(now time.Time, s *step, hosts []*host) bool {
	v := &s.reservation
	t := s.reservable(now)
	if t == nil {
		return false
	}
	d := s.demand()
	after, ok := time.Duration(0), false
	if len(v.hosts) > 0 {
		after, ok = c.revise(now, t, d, hosts)
	}
	if !ok || now.Sub(v.searchedAt) >= reservationSearchInterval {
		v.searchedAt = now
		slots, first, found := c.search(now, t, d, hosts)
		if !ok && !found {
			return false
		}
		if !ok || found && first+moveGain < after && c.lateStart(now, d, slots, hosts)+moveGain < after {
			v.hosts = v.hosts[:0]
			for _, slot := range slots {
				v.hosts = append(v.hosts, hosts[slot.Host])
			}
			after = first
			v.reportedAt = now.Add(after)
			c.logReserved(now, s, after)
		}
	}
	v.at = now.Add(after)
	c.checkDelay(now, s)
	if after > 0 {
		v.readySince = time.Time{}
	} else if v.readySince.IsZero() {
		v.readySince = now
	}
	c.promise(s, d, after)
	return true
}

// logReserved logs a new or moved reservation.
func (c *Cell) logReserved(now time.Time, s *step, after time.Duration) {
	v := &s.reservation
	if now.Sub(v.loggedAt) < reportInterval {
		return
	}
	v.loggedAt = now
	_ = level.Info(c.options.Logger).Log("msg", "capacity is reserved for a step that waits", "job", s.round.job.ID, "step", s.index, "tasks", len(v.hosts), "host", v.hosts[0].name, "in", after, "need", s.spec.Need.CPU)
}

// checkDelay counts and logs that the expected start of a step with a reservation has
// moved to a later time.
func (c *Cell) checkDelay(now time.Time, s *step) {
	v := &s.reservation
	if v.at.Before(v.reportedAt) {
		v.reportedAt = v.at
	}
	delay := v.at.Sub(v.reportedAt)
	if delay <= delayTolerance || now.Sub(v.delayLogged) < reportInterval {
		return
	}
	v.reportedAt, v.delayLogged = v.at, now
	c.counts.ReservationDelays++
	_ = level.Info(c.options.Logger).Log("msg", "reservation of a step is delayed", "job", s.round.job.ID, "step", s.index, "host", v.hosts[0].name, "by", delay, "in", v.at.Sub(now))
}
