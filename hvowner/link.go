package hvowner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvfence"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// dialTimeout limits connecting to a node, also in the farthest zone.
	dialTimeout = 500 * time.Millisecond
	// callTimeout limits a call to a node; the connection is closed after it.
	callTimeout = 1500 * time.Millisecond
	// redialInterval is the time between attempts to connect to a node.
	redialInterval = 250 * time.Millisecond
	// reportTimeout is how long an attached node may send no report before its
	// connection is closed; nodes report every 0.7 s. A node that was paused may
	// attach a connection that the owner has already closed, and then sends its
	// reports on no other.
	reportTimeout = 2500 * time.Millisecond
	// attachWait is how long a report waits for its connection to be attached.
	attachWait = 50 * time.Millisecond
)

// link maintains the connection to one node.
type link struct {
	owner *Owner
	name  string
	addr  string
	wake  chan struct{}

	// cancel ends the link; it is nil until the owner runs.
	cancel context.CancelFunc
	// conn is the attached connection and lastReport the time of the last report on
	// it. The owner's lock protects both.
	conn       *hvwire.Conn
	lastReport time.Time
}

func (l *link) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	go l.run(ctx)
}

// end ends a link whose node was removed or has another address. The owner's lock is held.
func (l *link) end() {
	if l.cancel != nil {
		l.cancel()
	}
	l.detachLocked(l.conn)
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.serve(ctx); err != nil && hv.KindOf(err) == hv.Conflict && ctx.Err() == nil {
			l.owner.stepDown(failure("link", hv.Conflict, "node %s has a newer owner: %v", l.name, err))
			return
		}
		hvtick.Sleep(ctx, redialInterval)
	}
}

// serve connects and attaches to the node and sends orders until the connection
// ends.
func (l *link) serve(ctx context.Context) error {
	if !l.mayAttach() {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := hvwire.Dial(dialCtx, l.addr, l.mux())
	cancel()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := l.attach(ctx, conn); err != nil {
		return err
	}
	defer l.detach(conn)
	reportCheck := time.NewTicker(reportTimeout / 4)
	defer reportCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.Done():
			return nil
		case <-reportCheck.C:
			if l.reportOverdue() {
				_ = level.Info(l.owner.options.Logger).Log("msg", "node sent no report within the limit; its connection is closed", "host", l.name, "limit", reportTimeout)
				return failure("link", hv.Unavailable, "node %s sent no report within the limit", l.name)
			}
			continue
		case <-l.wake:
		}
		if err := l.send(ctx, conn); err != nil {
			_ = level.Info(l.owner.options.Logger).Log("msg", "call with orders to a node failed; its connection is closed", "host", l.name, "err", err)
			return err
		}
	}
}

// attach makes the connection the one that the node takes orders from.
func (l *link) attach(ctx context.Context, conn *hvwire.Conn) error {
	claim := l.owner.options.Writer.Claim()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := hvwire.Call[hvorder.Report](ctx, conn, hvorder.MethodAttach, hvorder.Attach{Epoch: claim.Epoch, Owner: claim.Name, Token: l.firstToken(claim.Epoch), Progress: l.owner.options.Policy.Tail})
	if err != nil {
		return err
	}
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.links[l.name] != l || !o.cell.MayAttach(o.options.Clock.Now(), l.name) {
		return failure("link", hv.Unavailable, "node %s was removed or has another address", l.name)
	}
	l.conn, l.lastReport = conn, o.options.Clock.Now()
	o.checkAuthority()
	o.cell.NodeAttached(o.options.Clock.Now(), l.name, r)
	hvtick.Wake(o.wakePlan)
	hvtick.Wake(o.wakeFlush)
	return nil
}

// firstToken returns the first fencing token of the next attachment.
func (l *link) firstToken(epoch int64) int64 {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attachments[l.name]++
	return hvfence.First(epoch, o.attachments[l.name])
}

// mayAttach reports whether the node may be attached.
func (l *link) mayAttach() bool {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cell.MayAttach(o.options.Clock.Now(), l.name)
}

// disconnect closes the connection to a node whose registration is removed; the node
// registers again once it has had no contact with an owner for a while. The lock is held.
func (o *Owner) disconnect(name string) {
	if l := o.links[name]; l != nil && l.conn != nil {
		conn := l.conn
		l.detachLocked(conn)
		_ = conn.Close()
	}
}

func (l *link) reportOverdue() bool {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.options.Clock.Now().Sub(l.lastReport) > reportTimeout
}

func (l *link) detach(conn *hvwire.Conn) {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	l.detachLocked(conn)
}

// detachLocked is detach with the owner's lock held.
func (l *link) detachLocked(conn *hvwire.Conn) {
	if conn != nil && l.conn == conn {
		l.conn = nil
		l.owner.cell.NodeDetached(l.owner.options.Clock.Now(), l.name)
	}
}

// send sends the node its pending orders, if there are any.
func (l *link) send(ctx context.Context, conn *hvwire.Conn) error {
	orders, ok, err := l.takeOrders(conn)
	if err != nil || !ok {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = hvwire.Call[struct{}](ctx, conn, hvorder.MethodOrders, orders)
	return err
}

// takeOrders removes and returns the pending orders of the node, if there are any.
func (l *link) takeOrders(conn *hvwire.Conn) (hvorder.Orders, bool, error) {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.conn != conn {
		return hvorder.Orders{}, false, failure("link", hv.Unavailable, "connection of node %s is not attached", l.name)
	}
	orders, ok := o.cell.Orders(l.name)
	return orders, ok, nil
}

// mux returns the handler of the node's reports.
func (l *link) mux() hvwire.Mux {
	m := hvwire.Mux{}
	hvwire.Handle(m, hvorder.MethodReport, func(ctx context.Context, c *hvwire.Conn, r hvorder.Report) (hvorder.Grant, error) {
		return l.report(ctx, c, r)
	})
	hvwire.Handle(m, hvorder.MethodSpec, func(_ context.Context, _ *hvwire.Conn, q hvorder.SpecRequest) (hvorder.Spec, error) {
		return l.owner.spec(q.Job)
	})
	return m
}

// spec returns the work description of a job that has not ended.
func (o *Owner) spec(job string) (hvorder.Spec, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	text, ok := o.cell.Spec(job)
	if !ok {
		return hvorder.Spec{}, failure("spec", hv.NotFound, "job %q is not scheduled", job)
	}
	return hvorder.Spec{Text: text}, nil
}

func (l *link) report(ctx context.Context, c *hvwire.Conn, r hvorder.Report) (hvorder.Grant, error) {
	o := l.owner
	for deadline := o.options.Clock.Now().Add(attachWait); ; {
		o.mu.Lock()
		if l.conn == c {
			l.lastReport = o.options.Clock.Now()
			o.checkAuthority()
			grant := o.cell.Report(o.options.Clock.Now(), l.name, r)
			o.mu.Unlock()
			hvtick.Wake(o.wakePlan)
			hvtick.Wake(o.wakeFlush)
			return grant, nil
		}
		o.mu.Unlock()
		if o.options.Clock.Now().After(deadline) {
			return hvorder.Grant{}, failure("report", hv.Unavailable, "connection of node %s is not attached", l.name)
		}
		hvtick.Sleep(ctx, time.Millisecond)
	}
}
