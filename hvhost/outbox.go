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
func (l *Ledger) ReportEnd(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(r.Attempt)
	if e == nil {
		return false
	}
	l.setCommitment(e, hv.Resources{})
	delete(l.entries, r.Attempt.Task)
	l.recordNumber(r.Attempt, l.clock.Now())
	r.Shard = e.run.Shard
	l.outbox = append(l.outbox, r)
	return true
}

// ReportRefusal keeps a report that an attempt was refused, and from then on refuses
// to admit it: the owner places the next attempt elsewhere. It reports false
// for an attempt that was here before, whose end is reported instead, and when
// there is no room for the report.
func (l *Ledger) ReportRefusal(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Attempt.Number <= l.lastNumber(r.Attempt.Task) {
		return false
	}
	return l.addReport(r)
}

// ReportAbsence keeps a report for an attempt that is not here, and from then on
// refuses to admit it. It reports false for an attempt that is held, or whose
// end is reported already, and when there is no room for the report.
func (l *Ledger) ReportAbsence(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.find(r.Attempt) != nil || slices.ContainsFunc(l.outbox, func(e Report) bool { return e.Attempt == r.Attempt }) {
		return false
	}
	return l.addReport(r)
}

func (l *Ledger) addReport(r Report) bool {
	l.pruneNumbers(l.clock.Now())
	if !l.ready || len(l.entries)+len(l.outbox) >= l.config.MaxAttempts || len(l.numberOrder) >= 2*l.config.MaxAttempts {
		return false
	}
	l.recordNumber(r.Attempt, l.clock.Now())
	l.outbox = append(l.outbox, r)
	return true
}

// Cancel takes an attempt off the ledger that never started. Its refusal is
// the answer to the start message, so no report is kept.
func (l *Ledger) Cancel(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(a); e != nil {
		l.setCommitment(e, hv.Resources{})
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
