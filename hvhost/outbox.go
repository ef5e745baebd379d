package hvhost

import (
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
)

// Report is a report about an attempt to the owner of its shard.
type Report struct {
	Attempt    hv.Attempt
	Shard      int
	Event      string
	Reason     string
	Checkpoint string
}

// ReportEnd removes an attempt that no longer runs on the host from the ledger
// and keeps the report until Acknowledge. Admit has reserved the place in the
// outbox. ReportEnd returns false for an attempt that is not held.
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

// ReportRefusal keeps a report that an attempt was refused. The attempt is not
// admitted from then on, because the owner places the next one elsewhere.
// ReportRefusal returns false for an attempt that was here before, whose end is
// reported instead, and if the outbox is full.
func (l *Ledger) ReportRefusal(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Attempt.Number <= l.lastNumber(r.Attempt.Task) {
		return false
	}
	return l.addReport(r)
}

// ReportAbsence keeps a report for an attempt that is not on this host. The
// attempt is not admitted from then on. ReportAbsence returns false for an attempt
// that is held or already has a report in the outbox, and if the outbox is full.
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

// Cancel removes an attempt that never started from the ledger. No report is
// kept, because the response to the start message refuses the attempt.
func (l *Ledger) Cancel(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(a); e != nil {
		l.setCommitment(e, hv.Resources{})
		delete(l.entries, a.Task)
	}
}

// Reports returns up to limit unacknowledged reports, oldest first.
func (l *Ledger) Reports(limit int) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.outbox[:min(limit, len(l.outbox))])
}

// Acknowledge removes the report about an attempt that the owner of the shard has
// acknowledged.
func (l *Ledger) Acknowledge(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outbox = slices.DeleteFunc(l.outbox, func(e Report) bool { return e.Attempt == a })
}
