package hvcell

import (
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvinterference"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// countingModel counts the estimates that are computed for a cell.
type countingModel struct {
	*hvinterference.ChangeModel
	calls int
}

func (m *countingModel) Effect(serving, bestEffort string) hvinterference.Estimate {
	m.calls++
	return m.ChangeModel.Effect(serving, bestEffort)
}

// newServingCluster returns hosts with two services each, of which best-effort images slow
// one, and the model of their cell.
func newServingCluster(t *testing.T, hosts int) (*simCluster, *countingModel) {
	w := newSimCluster(t, hosts)
	model := &countingModel{ChangeModel: hvinterference.NewChangeModel(effectPrior, tailVariance)}
	w.cell.interference, w.cell.options.Policy.Colocation = model, true
	w.attachAll()
	s := hvjob.Step{Count: hosts, Need: hvjob.Resources{CPU: 2000, Memory: 100}, LongRunning: true, Image: "tolerant", LatencyTarget: 50, MaxPerHost: 1}
	sensitive := s
	sensitive.Image = "sensitive"
	w.submit(urgentJob(s, sensitive))
	w.exchange()
	for name := range w.hosts {
		reportInterference(w, name)
	}
	return w, model
}

// Guards against an owner that computes the same effects anew for each waiting task and
// host in each plan, which was nearly half of its work under load.
func TestUnchangedEffectsAreComputedOnce(t *testing.T) {
	const hosts, images, plans = 8, 5, 20
	w, model := newServingCluster(t, hosts)
	for i := range images {
		s := testStep(100, 900)
		s.BestEffort, s.Checkpoint, s.Image = true, true, "best-effort-"+string(rune('a'+i))
		w.submit(urgentJob(s, s))
	}
	model.calls = 0
	for range plans {
		w.advance(10 * time.Millisecond)
		w.exchange()
	}
	if w.cell.counts.Waiting < 100*images {
		t.Fatalf("%d tasks wait, want most of %d", w.cell.counts.Waiting, 200*images)
	}
	if most := hosts * images * 2; model.calls > most {
		t.Errorf("%d effects were computed in %d plans, want at most one for each host and pair of images, %d", model.calls, plans, most)
	}
}

// Guards against effects that stay as they were computed after new measurements or after
// the services of the host have changed.
func TestCachedEffectsFollowModelAndServices(t *testing.T) {
	w, model := newServingCluster(t, 2)
	check := func() {
		t.Helper()
		for _, h := range w.cell.hosts {
			got := w.cell.estimates(h, "best-effort")
			if len(got) != len(h.serving) {
				t.Fatalf("%d estimates for %d services", len(got), len(h.serving))
			}
			for i, s := range h.serving {
				if want := model.Effect(s.image, "best-effort"); got[i] != want {
					t.Fatalf("cached effect on %s is %v, that of the model %v", s.image, got[i], want)
				}
			}
		}
	}
	check()
	for i := range 100 {
		r := w.hosts["host-0"].report(false)
		r.LoadChanges = map[string]int64{"best-effort": int64(100 * (i%7 - 3)), "other": int64(i)}
		r.TailChanges = []hvorder.TailChange{{Image: "sensitive", LogChange: int64(i)}, {Image: "tolerant", LogChange: int64(50 - i)}}
		w.cell.Report(w.now, "host-0", r)
		check()
	}
	another := hvjob.Step{Count: 2, Need: hvjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true, Image: "another", LatencyTarget: 50, MaxPerHost: 1}
	j := w.submit(urgentJob(another))
	w.exchange()
	check()
	w.cancel(j.ID)
	w.exchange()
	w.exchange()
	check()
	w.cell.Restore(LearnedState{Effects: hvinterference.Effects{"tolerant": {"best-effort": {Mean: 0.3, Variance: 0.001}}}})
	check()
}

// Guards against a cache that grows with each image that was ever submitted.
func TestCachedEffectsAreBounded(t *testing.T) {
	w, _ := newServingCluster(t, 1)
	h := w.cell.hosts["host-0"]
	for i := range 3 * maxEstimates {
		w.cell.estimates(h, string(rune(i)))
	}
	if n := len(h.estimates); n > maxEstimates {
		t.Errorf("effects of %d images are cached, want at most %d", n, maxEstimates)
	}
}
