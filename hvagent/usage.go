package hvagent

import "context"

// readUsage reads usage from the worker and lets the commitments follow.
func (t *tasks) readUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	usage, err := t.worker.Usage(ctx)
	if err != nil {
		logWarn(t.logger, "msg", "usage was not read", "err", err)
		return
	}
	t.ledger.Load().Observe(usage)
}
