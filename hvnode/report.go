package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// reportInterval is the longest time between two reports; each one renews
	// the leases on the host.
	reportInterval = 700 * time.Millisecond
	// reportTimeout is after what a connection without an answer is given up.
	reportTimeout = 1500 * time.Millisecond
	// enrollAfter is how long a node waits for an owner before it registers
	// again.
	enrollAfter = 3 * time.Second
)

// reportLoop tells the owner what is new.
func (n *Node) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, n.wakeReport, reportInterval)
		if conn, r, ok := n.nextReport(); ok {
			n.send(ctx, conn, r)
		}
		n.count()
	}
}

// count sets the gauges of what this node believes.
func (n *Node) count() {
	if n.deps.Metrics == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deps.Metrics.Set("hv_node_epoch", n.epoch)
	n.deps.Metrics.Set("hv_node_running", int64(len(n.lists.Running)))
	n.deps.Metrics.Set("hv_node_pending", int64(len(n.pending)))
	n.deps.Metrics.Set("hv_node_unseen", int64(len(n.lists.Ended)))
	n.deps.Metrics.Set("hv_node_pace", int64(fullPace-n.pace.cut))
}

func (n *Node) send(ctx context.Context, conn *hvwire.Conn, r hvorder.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	grant, err := hvwire.Call[hvorder.Grant](ctx, conn, hvorder.MethodReport, r)
	if err != nil {
		_ = level.Info(n.deps.Logger).Log("msg", "owner does not answer", "epoch", r.Epoch, "err", err)
		n.detach(conn)
		return
	}
	n.mu.Lock()
	if r.Epoch == n.epoch && r.Incarnation == n.lists.Incarnation {
		n.until = max(n.until, grant.Until)
		n.seen = max(n.seen, grant.Seen)
	}
	n.attached = n.deps.Clock.Now()
	n.effects = grant.Effects
	n.mu.Unlock()
}

// detach closes the connection of an owner; it attaches again if it lives.
func (n *Node) detach(conn *hvwire.Conn) {
	n.mu.Lock()
	if n.owner == conn {
		n.owner = nil
	}
	n.mu.Unlock()
	_ = conn.Close()
}

func (n *Node) nextReport() (*hvwire.Conn, hvorder.Report, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil {
		return nil, hvorder.Report{}, false
	}
	r := hvorder.Report{Epoch: n.epoch, Node: n.name, ExecutorGone: n.dead && n.calling == 0}
	if !n.hostTold && n.host != nil {
		r.Host = n.host
		n.hostTold = true
	}
	switch {
	case n.known && !n.fullTold && n.complete():
		n.fill(&r)
	case n.known && !n.fullTold:
		r.Incarnation, r.Clock = n.lists.Incarnation, n.lists.ClockMS
	case n.known:
		r.Incarnation, r.Clock = n.lists.Incarnation, n.lists.ClockMS
		r.Running = n.newlySaved()
		r.Ended = n.newEnds()
	}
	if n.known {
		r.Stalled = n.stalled(n.deps.Clock.Now())
		r.ShareOffset = -n.pace.cut
		r.TailChanges, n.changes = n.changes, nil
		r.LoadChanges, n.moved = n.moved, nil
	}
	r.Refused, n.refused = n.refused, nil
	r.Stopped, n.stopped = n.stopped, nil
	return n.owner, r, true
}

// newlySaved returns the runs whose saved state the owner does not know.
func (n *Node) newlySaved() []hv.RunState {
	var out []hv.RunState
	live := make(map[hvorder.Run]string, len(n.lists.Running))
	for _, r := range n.lists.Running {
		run := runOf(r)
		live[run] = r.SavedState
		if r.SavedState != "" && n.saved[run] != r.SavedState {
			out = append(out, r)
		}
	}
	n.saved = live
	return out
}

func (n *Node) newEnds() []hv.RunEnd {
	var out []hv.RunEnd
	for _, e := range n.lists.Ended {
		if e.Number > n.told {
			out = append(out, e)
		}
	}
	n.told = lastEnd(out, n.told)
	return out
}

// enrollLoop registers the node whenever its executor changes, and again when
// no owner has come for some time.
func (n *Node) enrollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, n.wakeEnroll, enrollAfter)
		n.mu.Lock()
		host, due := n.host, n.deps.Clock.Now().Sub(n.attached) > enrollAfter || !n.hostTold
		n.mu.Unlock()
		if host == nil || !due {
			continue
		}
		if err := n.deps.Register(ctx, host); err != nil {
			_ = level.Warn(n.deps.Logger).Log("msg", "registration failed", "life", host.Incarnation, "err", err)
			hvtick.Sleep(ctx, failedPause)
			hvtick.Wake(n.wakeEnroll)
		}
	}
}
