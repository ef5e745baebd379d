package hventry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
)

// Catalog returns the current catalog, or nil before the first one is known.
func (g *Gate) Catalog() *hvjob.Catalog { return g.operators.catalog.Load() }

// Ready reports whether requests can be handled.
func (g *Gate) Ready() bool {
	return !g.notReady.Load() && g.Catalog() != nil && g.replica.Loaded()
}

// SetNotReady makes Ready return false from now on.
func (g *Gate) SetNotReady() { g.notReady.Store(true) }

// Pending returns the number of jobs of a queue that have not started a task. An error of kind
// Unavailable means that this gate has not read the topic, or not since records expired.
func (g *Gate) Pending(queue string) (int, error) {
	if !g.replica.Loaded() || g.replica.Loading() {
		return 0, failure("pending", hv.Unavailable, "the cell topic is being loaded")
	}
	return g.replica.Pending(queue), nil
}

// Submit stores a job. A repeated submission of the same job has no further effect.
func (g *Gate) Submit(ctx context.Context, j hvjob.Job) (time.Duration, error) {
	start := g.options.Clock.Now()
	defer func() { g.options.Metrics.Observe("hv_submit_us", j.Queue, "", g.options.Clock.Now().Sub(start)) }()
	if _, ok := g.replica.Job(j.ID); ok {
		g.recordDecision("submit", j.ID, "known")
		return 0, nil
	}
	j.Gate, j.Zone = g.options.Addr, g.options.Zone
	g.submitted.Add(j.ID, j.Spec)
	rec, err := g.options.StoreLimits.JobRecord(j)
	if err != nil {
		return 0, err
	}
	retry, err := g.store(ctx, rec, j.ID, false)
	if err != nil {
		g.recordDecision("submit", j.ID, "refused", "kind", hv.KindOf(err), "age", g.replica.SinceLastRead(), "retry", retry, "err", err)
		return retry, err
	}
	g.recordDecision("submit", j.ID, "accepted", "queue", j.Queue, "catalog", g.Catalog().Version)
	return 0, nil
}

// State returns the state of a job.
func (g *Gate) State(ctx context.Context, id string) (hvjob.State, error) {
	e, err := g.find(ctx, id)
	if err != nil {
		g.recordDecision("state", id, "unknown", "kind", hv.KindOf(err), "age", g.replica.SinceLastRead())
		return "", err
	}
	return e.State(), nil
}

// find returns a job, or an error of kind NotFound if it is not in the topic. It
// reads the topic up to its end before it reports that a job is missing, as another
// gate may just have accepted the job.
func (g *Gate) find(ctx context.Context, id string) (hvledger.Entry, error) {
	if e, ok := g.replica.Job(id); ok {
		return e, nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	err := g.syncUnlessDown(ctx)
	if e, ok := g.replica.Job(id); ok {
		return e, nil
	}
	if err != nil && g.replica.SinceLastRead() > maxReplicaAge {
		return hvledger.Entry{}, failure("find", hv.Uncertain, "cannot read the cell topic: %v", err)
	}
	if err != nil {
		return hvledger.Entry{}, failure("find", hv.Unavailable, "cannot read the cell topic: %v", err)
	}
	return hvledger.Entry{}, failure("find", hv.NotFound, "job %q does not exist", id)
}

// syncUnlessDown reads the topic up to its end. It fails at once while the store responds
// to nobody, so that no caller waits for it.
func (g *Gate) syncUnlessDown(ctx context.Context) error {
	if g.admission.down() {
		return failure("find", hv.Unavailable, "the store responds to nobody")
	}
	return g.tailer.Sync(ctx)
}

// recordDecision logs and counts the outcome of a request for a job.
func (g *Gate) recordDecision(call, id, outcome string, pairs ...any) {
	g.options.Metrics.Add("hv_calls_total", 1, "call", call, "outcome", outcome)
	_ = level.Info(g.options.Logger).Log(append([]any{"msg", "request for a job was handled", "call", call, "job", id, "outcome", outcome}, pairs...)...)
}
