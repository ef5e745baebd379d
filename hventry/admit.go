package hventry

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvshed"
)

// way is how a record reaches the store.
type way struct {
	load hvshed.Load
	// direct is true if this gate appends the record itself.
	direct bool
}

// chooseWay returns the way of the next record: through the owner if it is known to
// respond. If the owner does not respond for so long that the request would be late
// although the store is fast, this gate appends the record itself.
func (g *Gate) chooseWay(left time.Duration, first bool) way {
	direct := way{direct: true, load: g.admission.ownLoad(g.direct.queued())}
	if o := g.currentOwner(); o != nil {
		return way{load: g.admission.ownLoad(o.Queued())}
	}
	if c, _ := g.replica.Claim(); !g.shouldAskOwner(c) {
		return direct
	}
	asked := way{load: g.admission.remoteLoad()}
	late := hvshed.Decide(hvshed.State{Load: asked.load}, left, first).Outcome == hvshed.Refused
	if late && !g.admission.storeIsSlow() {
		return direct
	}
	return asked
}

// store decides whether an idempotent record can be stored in time, and stores it. The
// identifier of a submission is id; it is empty for other records. Those that are first go
// before submissions. An error of kind Unavailable or Full means that the record was certainly
// not stored. The caller of a submission that failed should return after retry.
func (g *Gate) store(ctx context.Context, rec hv.KeyedRecord, id string, first bool) (retry time.Duration, err error) {
	ctx, cancel, order := g.admission.order(ctx, id, first)
	defer cancel()
	left := order.Deadline.Sub(g.options.Clock.Now()) + hvshed.RespondReserve
	w := g.chooseWay(left, order.First)
	s := g.admission.state(w.load)
	d := hvshed.Decide(s, left, order.First)
	g.admission.record(d, s)
	if d.Outcome == hvshed.Refused {
		err = failure("admit", refusalKind(d), "refused before anything was sent: %s, expected wait %v, store silent or slow for %v", d.Reason, d.Wait, s.Outage)
		return g.admission.refuse(id, s, left, g.gateCount()), g.certain(id, err)
	}
	if !order.RefusedAt.IsZero() {
		g.options.Metrics.Add("hv_returned_total", 1)
	}
	err = g.put(ctx, rec, order, w)
	if err == nil {
		g.admission.returns.Forget(id)
		return 0, nil
	}
	retry = g.admission.refuse(id, g.admission.state(w.load), left, g.gateCount())
	if hv.KindOf(err) == hv.Uncertain && id != "" {
		g.admission.returns.SetUncertain(id)
	}
	return retry, g.certain(id, err)
}

// certain returns err, or an error of kind Uncertain if an earlier append with the job
// got no response: the job may be stored, whatever happened to this request.
func (g *Gate) certain(id string, err error) error {
	if hv.KindOf(err) == hv.Uncertain || !g.admission.returns.Uncertain(id) {
		return err
	}
	return failure("admit", hv.Uncertain, "an earlier append of the job got no response; this request: %v", err)
}

func refusalKind(d hvshed.Decision) hv.ErrorKind {
	if d.Reason == hvshed.QueueFull {
		return hv.Full
	}
	return hv.Unavailable
}

// gateCount returns the number of gates, which share the appends of the owner.
func (g *Gate) gateCount() (n int) {
	for _, node := range g.replica.Nodes() {
		if node.Gate {
			n++
		}
	}
	return n
}
