package hvagent

import "context"

// readUsage reads resource usage from the worker and adjusts the commitments.
func (t *tasks) readUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	usage, err := t.worker.Usage(ctx)
	if err != nil {
		logWarn(t.logger, "msg", "reading usage from the worker failed", "err", err)
		return
	}
	t.ledger.Load().Observe(usage)
}
