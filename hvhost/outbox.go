package hvhost

import (
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
)

// Report reports what became of an attempt to the owner of its shard.
type Report struct {
	Attempt    hv.Attempt
	Shard      int
	Event      string
	Reason     string
	Checkpoint string
}

// ReportEnd takes an attempt off the ledger, because it no longer runs on the host,
// and keeps the report until Acknowledge. The place in the outbox was reserved
// by Admit. It reports false for an attempt that is not held.
func (l *Ledger) ReportEnd(end Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(end.Attempt)
	if e == nil {
		return false
	}
	l.commit(e, hv.Resources{})
	delete(l.entries, end.Attempt.Task)
	l.remember(end.Attempt, l.clock.Now())
	end.Shard = e.run.Shard
	l.outbox = append(l.outbox, end)
	return true
}

// ReportRefusal keeps a report that an attempt was refused, and from then on refuses
// to admit it: the owner places the next attempt elsewhere. It reports false
// for an attempt that was here before, whose end is reported instead, and when
// there is no room for the report.
func (l *Ledger) ReportRefusal(end Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.Attempt.Number <= l.last(end.Attempt.Task) {
		return false
	}
	return l.absent(end)
}

// ReportAbsence keeps a report for an attempt that is not here, and from then on
// refuses to admit it. It reports false for an attempt that is held, or whose
// end is reported already, and when there is no room for the report.
func (l *Ledger) ReportAbsence(end Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.find(end.Attempt) != nil || slices.ContainsFunc(l.outbox, func(e Report) bool { return e.Attempt == end.Attempt }) {
		return false
	}
	return l.absent(end)
}

func (l *Ledger) absent(end Report) bool {
	l.forget(l.clock.Now())
	if !l.ready || len(l.entries)+len(l.outbox) >= l.config.MaxAttempts || len(l.order) >= 2*l.config.MaxAttempts {
		return false
	}
	l.remember(end.Attempt, l.clock.Now())
	l.outbox = append(l.outbox, end)
	return true
}

// Cancel takes an attempt off the ledger that never started. Its refusal is
// the answer to the start message, so no report is kept.
func (l *Ledger) Cancel(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(a); e != nil {
		l.commit(e, hv.Resources{})
		delete(l.entries, a.Task)
	}
}

// Reports returns up to limit unacknowledged ends, oldest first.
func (l *Ledger) Reports(limit int) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.outbox[:min(limit, len(l.outbox))])
}

// Acknowledge drops a report that the owner of the shard has taken.
func (l *Ledger) Acknowledge(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outbox = slices.DeleteFunc(l.outbox, func(e Report) bool { return e.Attempt == a })
}
