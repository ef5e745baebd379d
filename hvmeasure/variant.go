package hvmeasure

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvguard"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvplace"
)

type taskQueue interface {
	Push(hv.Task) error
	Pop(time.Time) (hv.Task, bool)
	Return([]hv.Task)
	Remove(func(hv.Task) bool) int
	Len() int
}

// variant is the decision code under measurement: the baseline or the policy.
type variant struct {
	placer  hv.Placer
	queue   taskQueue
	health  hv.Health
	suspect func(host string) bool
	history *hvplace.History
	guards  []hv.Guard
	correct func(hv.Task) hv.Task
}

const queueLimit = 20000

func baseline(Deployment, hv.Clock, uint64, hv.ViolationReporter) *variant {
	v := &variant{
		placer: hvplace.NewFirstFit(), queue: hvplace.NewFIFO(queueLimit), health: hvhealth.NewNoQuarantine(),
		suspect: func(string) bool { return false }, history: hvplace.NewHistory(),
		correct: func(t hv.Task) hv.Task { return t },
	}
	for range hostCount {
		v.guards = append(v.guards, hvguard.Noop{})
	}
	return v
}

func policy(d Deployment, clock hv.Clock, seed uint64, violations hv.ViolationReporter) *variant {
	health := hvhealth.New(hvhealth.Options{HostCount: func() int { return hostCount }})
	history := hvplace.NewHistory()
	v := &variant{
		placer: hvplace.New(hvplace.Options{Clock: clock, Prefer: d.Prefer, Seed: seed, Violations: violations}),
		queue:  hvplace.NewQueue(history, queueLimit),
		health: health, suspect: health.Suspect, history: history,
	}
	v.correct = func(t hv.Task) hv.Task { return history.Correct(t, d.HostCapacity) }
	for range hostCount {
		v.guards = append(v.guards, hvguard.New(hvguard.Options{Prefer: d.Prefer, SettlingTime: reportLag + reportInterval}))
	}
	return v
}
