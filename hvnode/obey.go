package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// callRetry separates repeats of a start or stop without an answer.
	callRetry = 100 * time.Millisecond
	// unhealthyTries is the number of refusals for reasons of health after
	// which a start is given back.
	unhealthyTries = 3
)

// obey carries out a batch of orders. Starts and stops go on after it returns.
func (n *Node) obey(ctx context.Context, o hvorder.Orders) error {
	n.mu.Lock()
	if o.Epoch != n.epoch {
		n.mu.Unlock()
		return failure("orders", hv.Conflict, "epoch %d is not %d", o.Epoch, n.epoch)
	}
	if o.Incarnation != n.lists.Incarnation {
		n.mu.Unlock()
		return failure("orders", hv.NotFound, "life %s is not %s", o.Incarnation, n.lists.Incarnation)
	}
	n.until = max(n.until, o.Until)
	if o.Seen > n.seen {
		n.seen = o.Seen
		hvtick.Wake(n.wakeHold)
	}
	for _, p := range o.Profiles {
		n.profiles[p.Run] = p
	}
	draining := n.host != nil && n.host.Draining
	for _, s := range o.Starts {
		if draining {
			n.refused = append(n.refused, hvorder.Refusal{Run: s.Run, Kind: hv.Unavailable})
			continue
		}
		n.profiles[s.Run] = s.Profile
		n.pending[s.Run] = true
		go n.start(ctx, hv.StartRun{Task: s.Task, Run: s.Profile.Run.Run, Spec: o.Specs[jobOf(s.Task)], SavedState: s.Saved, Ticket: s.Ticket, Epoch: o.Epoch, LeaseEnd: o.Until})
	}
	for _, run := range o.Stops {
		delete(n.pending, run)
		go n.stop(ctx, run, o.Epoch)
	}
	n.mu.Unlock()
	if draining {
		hvtick.Wake(n.wakeReport)
	}
	return nil
}

func jobOf(task string) string {
	for i := range len(task) {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// start repeats a start until it is answered or no longer wanted. Repeats are
// harmless, as the executor knows the run by its number.
func (n *Node) start(ctx context.Context, s hv.StartRun) {
	run := hvorder.Run{Task: s.Task, Run: s.Run}
	// doubt is true once a call got no answer: it may still be carried out.
	doubt := false
	for try := 1; ctx.Err() == nil && n.wanted(run, s.Epoch); try++ {
		err := n.deps.Executor.Start(ctx, s)
		n.called()
		if err == nil {
			n.settle(run, nil)
			n.paceStarted(ctx, run, s.Epoch)
			return
		}
		kind := hv.KindOf(err)
		if kind == hv.Expired {
			err = n.afterAll(ctx, run, s.Epoch, err)
			kind = hv.KindOf(err)
		}
		if err == nil {
			n.settle(run, nil)
			return
		}
		if kind != hv.Uncertain && (kind != hv.Unavailable || try >= unhealthyTries) {
			_ = level.Info(n.deps.Logger).Log("msg", "start is refused", "task", s.Task, "run", s.Run, "epoch", s.Epoch, "doubt", doubt, "err", err)
			n.giveBack(ctx, run, s.Epoch, kind, doubt)
			return
		}
		doubt = doubt || kind == hv.Uncertain
		hvtick.Sleep(ctx, callRetry)
	}
}

// giveBack returns a start to the owner. While an earlier call of it may still be
// carried out, the run is barred first.
func (n *Node) giveBack(ctx context.Context, run hvorder.Run, epoch int64, kind hv.ErrorKind, doubt bool) {
	if doubt && kind != hv.Conflict {
		n.settle(run, nil)
		n.stop(ctx, run, epoch)
		return
	}
	n.settle(run, &hvorder.Refusal{Run: run, Kind: kind})
}

// afterAll tells what became of a start whose number is used up: an earlier
// call without an answer may have started the run, and it may have ended since.
// It returns nil if the executor lists the run, and refusal if it does not.
func (n *Node) afterAll(ctx context.Context, run hvorder.Run, epoch int64, refusal error) error {
	lists, err := n.deps.Executor.RenewLeases(ctx, hv.LeaseRenewal{Epoch: epoch})
	switch {
	case err != nil:
		return failure("start", hv.Uncertain, "no lists after %v: %v", refusal, err)
	case listed(lists, run):
		return nil
	}
	return refusal
}

// wanted reports whether a start is still to be called, and counts the call.
func (n *Node) wanted(run hvorder.Run, epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.pending[run] || n.epoch != epoch {
		return false
	}
	n.calling++
	n.calls++
	return true
}

// called notes the end of a call.
func (n *Node) called() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calling--
	if n.calling == 0 && (n.dead || !n.fullTold) {
		hvtick.Wake(n.wakeReport)
	}
}

// settle ends a pending start. Without a refusal the run is on the executor.
func (n *Node) settle(run hvorder.Run, refusal *hvorder.Refusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.pending[run] {
		return
	}
	delete(n.pending, run)
	if refusal != nil {
		n.refused = append(n.refused, *refusal)
		hvtick.Wake(n.wakeReport)
	}
}

// stop repeats a stop until it is answered, and reports a run that will not
// be listed as ended.
func (n *Node) stop(ctx context.Context, run hvorder.Run, epoch int64) {
	for ctx.Err() == nil {
		if n.superseded(epoch) {
			return
		}
		err := n.deps.Executor.Stop(ctx, run.Task, run.Run, epoch)
		if err == nil {
			break
		}
		if hv.KindOf(err) == hv.Conflict || hv.KindOf(err) == hv.NotFound {
			// A newer owner decides, or the executor is gone with the run.
			return
		}
		hvtick.Sleep(ctx, callRetry)
	}
	for ctx.Err() == nil && !n.superseded(epoch) {
		lists, err := n.deps.Executor.RenewLeases(ctx, hv.LeaseRenewal{Epoch: epoch})
		if err != nil {
			hvtick.Sleep(ctx, callRetry)
			continue
		}
		if !listed(lists, run) {
			n.mu.Lock()
			n.stopped = append(n.stopped, run)
			n.mu.Unlock()
			hvtick.Wake(n.wakeReport)
		}
		return
	}
}

func (n *Node) superseded(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch != epoch
}

func listed(h hv.ExecutorState, run hvorder.Run) bool {
	for _, r := range h.Running {
		if runOf(r) == run {
			return true
		}
	}
	for _, e := range h.Ended {
		if e.Task == run.Task && e.Run == run.Run {
			return true
		}
	}
	return false
}
