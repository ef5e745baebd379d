package hvcell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvfair"
)

// sharesLogInterval is the least time between two lines about the order of shares.
const sharesLogInterval = time.Second

// sharing is the state of fair sharing and preemption in one ownership.
type sharing struct {
	// contended is true if a step waited for capacity after the last plan.
	contended bool
	accounts  map[accountKey]*account
	// order holds the accounts in the order of their creation.
	order []*account
	// sizes holds the work of the recent jobs by queue.
	sizes map[string]*hvfair.Sizes
	turns hvfair.LateTurns
	// late is the step that has a turn before others in the present plan, or nil, and
	// lateWaits is true while a step waits for such turns.
	late      *step
	lateWaits bool
	// loggedAt is when the order of shares was last logged.
	loggedAt time.Time
	limiter  hvfair.Limiter
	// searchedAt is when runs to stop were last searched for.
	searchedAt time.Time
	// holds holds the capacity that is kept for tasks that preempted.
	holds []*hold
}

// stepSharing is the state of a step in fair sharing.
type stepSharing struct {
	account *account
	// since is when a task of the step first found no host, or zero if none waits.
	since time.Time
	// lastTurn is when the step last had a turn as late work.
	lastTurn time.Time
	// retryAt is the earliest time of the next search for runs to stop.
	retryAt time.Time
	// exempt holds the tasks whose runs no preemption may stop any more.
	exempt []*task
}

// orderBySharing reorders the candidates so that queues, zones and sizes of jobs get
// their share of contended capacity.
func (c *Cell) orderBySharing(now time.Time, list []candidate) {
	c.sharing.late, c.sharing.lateWaits = nil, false
	if !c.options.Policy.Sharing || !c.sharing.contended || len(list) == 0 {
		return
	}
	c.setFloors(list)
	first := map[bool]*step{}
	for i := range list {
		if cand := &list[i]; first[cand.longRunning] == nil {
			first[cand.longRunning] = cand.step
		}
		list[i].position = list[i].step.sharing.account.positions()
	}
	slices.SortFunc(list, compareShares)
	c.giveLateTurn(now, list)
	c.logShares(now, list, first)
}

// compareShares orders candidates of the same use by the position of their queue, and
// those of one queue by the positions of their zone and size.
func compareShares(a, b candidate) int {
	if a.longRunning != b.longRunning || a.usefulness != b.usefulness {
		return compare(a, b)
	}
	return cmp.Or(
		cmp.Compare(a.position.queue, b.position.queue),
		comparePriority(a, b),
		cmp.Compare(a.position.zone, b.position.zone),
		cmp.Compare(a.position.size, b.position.size),
		compare(a, b),
	)
}

// comparePriority orders candidates by the priority of their queue, and in a queue those
// with preempted tasks first.
func comparePriority(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.step.round.job.queue.Priority, b.step.round.job.queue.Priority),
		-cmp.Compare(min(a.step.exemptWaiting(), 1), min(b.step.exemptWaiting(), 1)),
	)
}

// exemptWaiting returns the number of waiting tasks of the step that were preempted or
// have preempted.
func (s *step) exemptWaiting() int {
	n := 0
	for _, t := range s.sharing.exempt {
		if !t.done && len(t.runs) == 0 {
			n++
		}
	}
	return n
}

// placementOrder returns the tasks of a step in the order in which they start: those for
// which capacity is kept first, then preempted ones.
func (s *step) placementOrder() []*task {
	if s.exemptWaiting() == 0 {
		return s.tasks
	}
	out := slices.Clone(s.tasks)
	rank := func(t *task) int {
		switch {
		case t.hold != nil:
			return 0
		case t.exempt:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(out, func(a, b *task) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

// logShares logs that shares change which step is first.
func (c *Cell) logShares(now time.Time, list []candidate, first map[bool]*step) {
	if now.Sub(c.sharing.loggedAt) < sharesLogInterval {
		return
	}
	for _, cand := range list {
		before := first[cand.longRunning]
		if before == nil {
			continue
		}
		first[cand.longRunning] = nil
		if cand.step == before || cand.step == c.sharing.late {
			continue
		}
		c.sharing.loggedAt = now
		j, p := cand.step.round.job, cand.position
		_ = level.Info(c.options.Logger).Log("msg", "waiting work starts in the order of its shares", "job", j.ID, "queue", j.Queue, "zone", j.Zone, "size", j.size, "used_of_queue", p.queue, "used_of_zone", p.zone, "used_of_size", p.size, "before_job", before.round.job.ID, "before_queue", before.round.job.Queue)
	}
}

// placeAll starts the tasks of the candidates for which hosts have capacity. Under
// contention, candidates of the same use start tasks up to the floors of their queue,
// zone and size, then up to that of their queue, and then whatever fits.
func (c *Cell) placeAll(now time.Time, list []candidate, hosts []*host, held map[*task]bool) {
	if !c.options.Policy.Sharing || !c.sharing.contended {
		for _, cand := range list {
			c.placeStep(now, cand.step, hosts, held, math.MaxInt)
		}
		return
	}
	var unfinished []candidate
	others, late := 0, 0
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].longRunning == list[0].longRunning && list[n].usefulness == list[0].usefulness {
			n++
		}
		before := c.counts.Starts
		if list[0].step == c.sharing.late {
			n = 1
			if c.placeStep(now, list[0].step, hosts, held, c.sharing.turns.Due()) {
				unfinished = append(unfinished, list[0])
			}
			c.logLateTurn(now, list[0].step, int(c.counts.Starts-before))
		} else {
			c.placeByShares(now, list[:n], hosts, held)
		}
		switch started := int(c.counts.Starts - before); {
		case list[0].usefulness == notUseful:
			late += started
		case !list[0].longRunning:
			others += started
		}
		list = list[n:]
	}
	c.placeByShares(now, unfinished, hosts, held)
	if c.sharing.lateWaits {
		c.sharing.turns = c.sharing.turns.After(others, late)
	}
}

// placeByShares starts tasks of candidates of the same use.
func (c *Cell) placeByShares(now time.Time, list []candidate, hosts []*host, held map[*task]bool) {
	for _, floors := range []int{depthSize, depthQueue, depthService} {
		if floors == depthService {
			// What is left is lent in the usual order.
			slices.SortFunc(list, compare)
		}
		var next []candidate
		for _, cand := range list {
			if c.placeStep(now, cand.step, hosts, held, cand.step.tasksToFloor(floors)) {
				next = append(next, cand)
			}
		}
		list = next
	}
}

// placeStep starts up to limit tasks of a step, or a gang, and reports whether the limit
// prevented more starts.
func (c *Cell) placeStep(now time.Time, s *step, hosts []*host, held map[*task]bool, limit int) bool {
	if limit <= 0 {
		return true
	}
	if s.spec.Gang {
		c.placeGang(now, s, hosts)
		return false
	}
	return c.placeTasks(now, s, hosts, held, limit)
}

// markWaiting records which steps wait for capacity after a plan.
func (c *Cell) markWaiting(now time.Time, list []candidate) {
	c.sharing.contended = false
	for _, cand := range list {
		s := cand.step
		if !s.lacksCapacity(now) {
			s.sharing.since = time.Time{}
			continue
		}
		c.sharing.contended = true
		if s.sharing.since.IsZero() {
			s.sharing.since = now
		}
	}
}

// lacksCapacity reports whether a step that was placed still has a task that can start.
// Members of a gang wait for each other, and suspected tasks for a trial.
func (s *step) lacksCapacity(now time.Time) bool {
	if s.waiting == 0 || s.isRisky() || s.spec.Gang && s.waiting < len(s.tasks) || s.needsAdvice() && len(s.advice.tickets) == 0 {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.canStart(now) })
}
