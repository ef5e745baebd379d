package hvcontrol

import (
	"context"
	"maps"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
	"hibiscusvane.example/hibiscusvane/hvpeer"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// submitTimeout bounds how long an API call waits for its record to be appended
// and read back.
const submitTimeout = 5 * time.Second

// CallerLabel is the label that names the caller of a submitted task. Only
// that caller may cancel the task.
const CallerLabel = "caller"

var _ hvhttp.JobStore = (*Control)(nil)

// Submit implements hvhttp.JobStore.
func (c *Control) Submit(ctx context.Context, caller string, t hv.Task) (hvhttp.Job, error) {
	if t.Team != "" {
		if _, ok := c.settings.Current().Settings.Teams[t.Team]; !ok {
			return hvhttp.Job{}, hvhttp.Invalid("team", "%q does not exist", t.Team)
		}
	}
	t.Labels = maps.Clone(t.Labels)
	if t.Labels == nil {
		t.Labels = map[string]string{}
	}
	t.Labels[CallerLabel] = caller
	shard := hvtask.ShardOf(t.ID)
	if job, found, err := c.findSubmitted(shard, t); found {
		return job, err
	}
	if t.Kind == hv.Job && t.Deadline.Before(c.Clock.Now()) {
		return hvhttp.Job{}, hvhttp.Invalid("deadline", "%s has passed", t.Deadline.UTC().Format(time.RFC3339))
	}
	if err := c.appendOp(ctx, shard, hvtask.Submit(t)); err != nil {
		return hvhttp.Job{}, err
	}
	job, found, err := c.findSubmitted(shard, t)
	if !found {
		return hvhttp.Job{}, errorf("submit", hv.Full, "shard %d is full", shard)
	}
	return job, err
}

// findSubmitted looks up a task that was submitted before, and reports whether
// it exists. A task with the same ID and another body is a conflict.
func (c *Control) findSubmitted(shard int, t hv.Task) (hvhttp.Job, bool, error) {
	e, ok := c.shards[shard].Lookup(t.ID)
	if !ok {
		return hvhttp.Job{}, false, nil
	}
	if e.Checksum != hvtask.Checksum(t) {
		return hvhttp.Job{}, true, errorf("submit", hv.Conflict, "id: task %q exists with another body", t.ID)
	}
	return c.job(e), true, nil
}

// appendOp appends an operation to the stream of a shard and waits until it is
// read back, for at most submitTimeout.
func (c *Control) appendOp(ctx context.Context, shard int, op hvtask.Op) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if !c.shardStreams[shard].follower.Status().Loaded {
		return errorf("add", hv.Unavailable, "shard %d is not loaded", shard)
	}
	ticket, err := c.owners[shard].Add(op)
	if err != nil {
		return err
	}
	select {
	case err := <-ticket.Done():
		return err
	case <-ctx.Done():
	}
	if ticket.Cancel() {
		return errorf("add", hv.Unavailable, "the log did not accept the record in time")
	}
	return errorf("add", hv.Uncertain, "the record was sent but not read back in time")
}

// Get implements hvhttp.JobStore.
func (c *Control) Get(ctx context.Context, _ string, kind hv.Kind, id string) (hvhttp.Job, error) {
	e, err := c.lookup(kind, id)
	if err != nil {
		return hvhttp.Job{}, err
	}
	return c.withReason(ctx, e), nil
}

func (c *Control) lookup(kind hv.Kind, id string) (hvtask.Entry, error) {
	shard := hvtask.ShardOf(id)
	e, ok := c.shards[shard].Lookup(id)
	switch {
	case ok && e.Task.Kind == kind:
		return e, nil
	case !c.shardStreams[shard].follower.Status().Loaded:
		return e, errorf("get", hv.Unavailable, "shard %d is not loaded", shard)
	}
	return e, errorf("get", hv.NotFound, "%s %q does not exist or ended long ago", kind, id)
}

// Wait implements hvhttp.JobStore.
func (c *Control) Wait(ctx context.Context, _ string, kind hv.Kind, id string) (hvhttp.Job, error) {
	state := c.shards[hvtask.ShardOf(id)]
	for {
		changed := state.Changed()
		e, err := c.lookup(kind, id)
		if err != nil {
			return hvhttp.Job{}, err
		}
		if e.State.Terminal() {
			return c.job(e), nil
		}
		select {
		case <-ctx.Done():
			return c.withReason(context.WithoutCancel(ctx), e), nil
		case <-changed:
		}
	}
}

// List implements hvhttp.JobStore.
func (c *Control) List(_ context.Context, _ string, q hvhttp.Query) ([]hvhttp.Job, error) {
	var jobs []hvhttp.Job
	for _, e := range c.entries(q.Label, q.Value) {
		if e.Task.Kind == q.Kind && len(jobs) < q.Limit {
			jobs = append(jobs, c.job(e))
		}
	}
	return jobs, nil
}

// maxListedPerShard bounds the tasks that one list request reads from a shard.
const maxListedPerShard = 4096

func (c *Control) entries(label, value string) []hvtask.Entry {
	if label != "" {
		label += "=" + value
	}
	var list []hvtask.Entry
	for _, s := range c.shards {
		list = append(list, s.List(label, maxListedPerShard)...)
	}
	return list
}

// Cancel implements hvhttp.JobStore. It appends one record to each shard that
// has selected tasks.
func (c *Control) Cancel(ctx context.Context, caller string, s hvhttp.Selection) (int, error) {
	byShard := map[int][]string{}
	selected := c.entries(s.Label, s.Value)
	if s.Label == "" {
		selected = nil
		for _, id := range s.IDs {
			if e, ok := c.shards[hvtask.ShardOf(id)].Lookup(id); ok {
				selected = append(selected, e)
			}
		}
	}
	count := 0
	for _, e := range selected {
		if e.Task.Labels[CallerLabel] == caller && !e.State.Terminal() {
			shard := hvtask.ShardOf(e.Task.ID)
			byShard[shard] = append(byShard[shard], e.Task.ID)
			count++
		}
	}
	for shard, ids := range byShard {
		if err := c.appendOp(ctx, shard, hvtask.Cancel(ids...)); err != nil {
			return 0, err
		}
	}
	return count, nil
}

// withReason describes a task; for a queued one it asks the owner of the shard
// for the reason why it waits.
func (c *Control) withReason(ctx context.Context, e hvtask.Entry) hvhttp.Job {
	job := c.job(e)
	if e.State != hvtask.Queued {
		return job
	}
	if text, err := c.explain(ctx, e.Task.ID); err == nil {
		job.Reason = text
	}
	return job
}

// job describes a task from the state that this gate has.
func (c *Control) job(e hvtask.Entry) hvhttp.Job {
	job := hvhttp.Job{
		Task: e.Task, State: string(e.State), Reason: e.Reason, Attempt: e.Number, Final: e.State.Terminal(),
	}
	if e.Placement != nil {
		job.Host = e.Placement.Host
	}
	if e.State == hvtask.Queued {
		if text, err := c.owners[hvtask.ShardOf(e.Task.ID)].Explain(e.Task.ID); err == nil {
			job.Reason = text
		}
	}
	return job
}

// explain describes the state of a task in words. Only the owner of the shard
// knows why a queued task waits, so the other gates ask the owner.
func (c *Control) explain(ctx context.Context, id string) (string, error) {
	shard := hvtask.ShardOf(id)
	text, err := c.owners[shard].Explain(id)
	if _, owns := c.owners[shard].Owns(); owns || err != nil {
		return text, err
	}
	owner := c.shards[shard].Owner().Gate
	response, ok := hvpeer.Call[hvwire.Explanation](ctx, c.peers, owner, hvwire.MethodExplain, hvwire.Explain{Task: id})
	if ok && response.Text != "" {
		return response.Text, nil
	}
	return text, nil
}

func (c *Control) serveExplain(_ context.Context, _ *hvwire.Conn, q hvwire.Explain) (hvwire.Explanation, error) {
	text, err := c.owners[hvtask.ShardOf(q.Task)].Explain(q.Task)
	return hvwire.Explanation{Text: text}, err
}

var _ hvshard.Appender = (*stream)(nil)
